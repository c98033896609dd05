// Builds popt's option table from the option groups that the subcommand accepts, and converts
// popt's C values into CommandOptions.
#include "command_options.h"

#include <popt.h>

#include <array>
#include <cstdlib>
#include <memory>

#include "errors.h"

namespace endivecleat {
namespace {

// Values as popt stores them; it supports only C types.
struct PoptValues {
  char* settings = nullptr;
  char* control = nullptr;
  char* token_file = nullptr;
  char* operation = nullptr;
  char* author = nullptr;
  char* stage = nullptr;
  long long base = -1;     // NOLINT(google-runtime-int): popt's type
  long long version = -1;  // NOLINT(google-runtime-int)
  long long after = -1;    // NOLINT(google-runtime-int)
  int timeout = 15;
  int json = 0;
};

std::vector<poptOption> OptionTable(const std::string& groups, PoptValues& raw) {
  struct OptionEntry {
    char letter;  // in CommandUsage::option_groups
    poptOption option;
  };
  const std::array entries = std::to_array<OptionEntry>({
      {'s', {"settings", 's', POPT_ARG_STRING, &raw.settings, 0, "settings file", "FILE"}},
      {'c',
       {"control", 'c', POPT_ARG_STRING, &raw.control, 0,
        "operators' addresses of control instances", "ADDRESS[,ADDRESS...]"}},
      {'c',
       {"token-file", 't', POPT_ARG_STRING, &raw.token_file, 0, "file with the operators' token",
        "FILE"}},
      {'c',
       {"timeout", 0, POPT_ARG_INT, &raw.timeout, 0, "time limit of the command (default 15)",
        "SECONDS"}},
      {'o',
       {"operation", 0, POPT_ARG_STRING, &raw.operation, 0,
        "id of the change; repeating an id returns the result of the first attempt", "ID"}},
      {'o',
       {"base", 'b', POPT_ARG_LONGLONG, &raw.base, 0,
        "version that the change is based on (default: the newest)", "VERSION"}},
      {'o',
       {"author", 0, POPT_ARG_STRING, &raw.author, 0, "author of the change (default: $USER)",
        "NAME"}},
      {'g', {"stage", 0, POPT_ARG_STRING, &raw.stage, 0, "print the result of this stage", "NAME"}},
      {'v', {"version", 0, POPT_ARG_LONGLONG, &raw.version, 0, "version to print", "VERSION"}},
      {'a', {"after", 0, POPT_ARG_LONGLONG, &raw.after, 0, "print only later versions", "VERSION"}},
      {'j', {"json", 'j', POPT_ARG_NONE, &raw.json, 0, "print JSON", nullptr}},
  });
  std::vector<poptOption> table;
  for (const OptionEntry& entry : entries) {
    if (groups.find(entry.letter) != std::string::npos) {
      table.push_back(entry.option);
    }
  }
  table.push_back({nullptr, 0, POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0, "Help:", nullptr});
  table.push_back({nullptr, 0, 0, nullptr, 0, nullptr, nullptr});
  return table;
}

std::string TakeString(char* text) {
  std::string result = text == nullptr ? "" : text;
  std::free(text);  // NOLINT: popt allocates with malloc
  return result;
}

std::optional<uint64_t> TakeNumber(int64_t number, const char* option) {
  if (number == -1) {
    return std::nullopt;
  }
  if (number < 0) {
    throw UserError(ResultCode::kUsage, std::string(option) + " must not be negative");
  }
  return static_cast<uint64_t>(number);
}

}  // namespace

CommandOptions ReadOptions(const CommandUsage& usage, int argc, const char** argv) {
  PoptValues raw;
  const std::vector<poptOption> table = OptionTable(usage.option_groups, raw);
  const std::string name = "endivecleat " + usage.name;
  // popt prints the first argument as the program name in the usage.
  std::vector<const char*> arguments(argv, argv + argc);
  arguments.front() = name.c_str();
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext(name.c_str(), argc, arguments.data(), table.data(), 0), &poptFreeContext);
  const std::string help = "[OPTION...] " + usage.arguments + "\n" + usage.summary;
  poptSetOtherOptionHelp(context.get(), help.c_str());
  const int end = poptGetNextOpt(context.get());
  if (end < -1) {
    throw UserError(ResultCode::kUsage,
                    std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " +
                        poptStrerror(end));
  }
  CommandOptions options;
  for (const char* argument = poptGetArg(context.get()); argument != nullptr;
       argument = poptGetArg(context.get())) {
    options.arguments.emplace_back(argument);
  }
  options.settings = TakeString(raw.settings);
  options.control = TakeString(raw.control);
  options.token_file = TakeString(raw.token_file);
  options.operation = TakeString(raw.operation);
  options.author = TakeString(raw.author);
  options.stage = TakeString(raw.stage);
  options.base = TakeNumber(raw.base, "--base");
  options.version = TakeNumber(raw.version, "--version");
  options.after = TakeNumber(raw.after, "--after");
  options.timeout = std::chrono::seconds(raw.timeout);
  options.json = raw.json != 0;
  return options;
}

}  // namespace endivecleat

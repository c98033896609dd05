// Reads the client settings from options or a file, calls the control instances through
// OperatorClient, and formats the results as text or JSON.
#include "operator_commands.h"

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <thread>

#include "configuration.h"
#include "configuration_diff.h"
#include "configuration_lint.h"
#include "errors.h"
#include "json_reader.h"
#include "operator_client.h"
#include "settings.h"
#include "text_file.h"

namespace endivecleat {
namespace {

constexpr auto kWatchInterval = std::chrono::seconds(1);

const std::string& RequiredArgument(const CommandOptions& options, size_t index, const char* what) {
  if (options.arguments.size() <= index) {
    throw UserError(ResultCode::kUsage, std::string(what) + " is missing");
  }
  return options.arguments[index];
}

std::vector<Address> ParseAddressList(const std::string& list) {
  std::vector<Address> addresses;
  std::stringstream parts(list);
  for (std::string part; std::getline(parts, part, ',');) {
    const std::optional<Address> address = ParseAddress(part);
    if (!address) {
      throw UserError(ResultCode::kUsage,
                      "--control must list IP addresses with ports, such as 127.0.0.1:7001");
    }
    addresses.push_back(*address);
  }
  return addresses;
}

// Reads a file such as
// {"control": ["127.0.0.1:7001", ...], "operator_token_file": "operator.token"}.
// The path of the token file is relative to the settings file.
OperatorClientSettings ReadClientSettings(const std::string& path) {
  const nlohmann::json document = nlohmann::json::parse(ReadTextFile(path), nullptr, false);
  std::vector<Problem> problems;
  JsonReader reader(document, "", problems);
  OperatorClientSettings settings;
  for (const std::string& text : reader.ReadStrings("control", Presence::kRequired)) {
    if (const auto address = ParseAddress(text)) {
      settings.control.push_back(*address);
    } else {
      reader.ReportProblem("control", "has an entry that is not an IP address and a port: " + text);
    }
  }
  const std::string token_file = reader.ReadString("operator_token_file", Presence::kRequired);
  reader.RejectUnknownKeys();
  if (!problems.empty()) {
    throw UserError(ResultCode::kSettingsInvalid, "the settings are not valid", problems);
  }
  settings.token =
      ReadTokenFile((std::filesystem::absolute(path).parent_path() / token_file).string());
  return settings;
}

OperatorClient MakeClient(const CommandOptions& options) {
  OperatorClientSettings settings;
  if (!options.settings.empty()) {
    settings = ReadClientSettings(options.settings);
  }
  if (!options.control.empty()) {
    settings.control = ParseAddressList(options.control);
  }
  if (!options.token_file.empty()) {
    settings.token = ReadTokenFile(options.token_file);
  }
  if (settings.control.empty() || settings.token.empty()) {
    throw UserError(ResultCode::kUsage,
                    "the control instances and the token are missing: pass --settings FILE, or "
                    "--control and --token-file");
  }
  settings.timeout = options.timeout;
  return OperatorClient(settings);
}

uint64_t BaseVersion(const CommandOptions& options, OperatorClient& client) {
  if (options.base) {
    return *options.base;
  }
  return client.Call("version", {{"version", 0}}).at("version").get<uint64_t>();
}

nlohmann::json ChangeParameters(const CommandOptions& options) {
  const char* user = std::getenv("USER");  // NOLINT(concurrency-mt-unsafe)
  const std::string author = user == nullptr ? "operator" : user;
  const std::string operation =
      options.operation.empty() ? NewOperationId().value() : options.operation;
  return {{"operation", operation}, {"author", options.author.empty() ? author : options.author}};
}

// Returns 0 while no configuration exists: the first one has the base version 0, which no control
// instance stores.
uint64_t BaseVersionOrZero(const CommandOptions& options, OperatorClient& client) {
  try {
    return BaseVersion(options, client);
  } catch (const UserError& error) {
    if (error.code() == ResultCode::kUnknownVersion) {
      return 0;
    }
    throw;
  }
}

int SendChange(const CommandOptions& options, const std::string& method,
               const nlohmann::json& extra) {
  OperatorClient client = MakeClient(options);
  nlohmann::json parameters = ChangeParameters(options);
  parameters.update(extra);
  parameters["base"] = BaseVersionOrZero(options, client);
  const nlohmann::json result = client.Call(method, parameters);
  const uint64_t version = result.at("version").get<uint64_t>();
  if (options.json) {
    std::cout << nlohmann::json{{"version", version}, {"operation", parameters["operation"]}}.dump()
              << "\n";
  } else {
    std::cout << "accepted as version " << version << " (operation "
              << parameters["operation"].get<std::string>() << ")\n";
  }
  return 0;
}

std::string FetchVersionText(OperatorClient& client, uint64_t version) {
  return client.Call("version", {{"version", version}}).at("text").get<std::string>();
}

nlohmann::json ToJson(const std::vector<Difference>& differences) {
  nlohmann::json list = nlohmann::json::array();
  for (const Difference& difference : differences) {
    list.push_back({{"path", difference.json_path},
                    {"before", difference.before},
                    {"after", difference.after}});
  }
  return list;
}

bool NamesControlInstances(const CommandOptions& options) {
  return !options.settings.empty() || !options.control.empty();
}

// Prints what a valid configuration should be looked at for and, if control instances are named,
// what differs from the version in force. API keys are not printed.
void PrintFindings(const CommandOptions& options, const std::string& text,
                   const std::vector<Problem>& findings) {
  std::vector<Difference> differences;
  if (NamesControlInstances(options)) {
    OperatorClient client = MakeClient(options);
    differences = WithoutApiKeys(DiffDocuments(FetchVersionText(client, 0), text));
  }
  if (!options.json) {
    std::cout << "valid\n";
    for (const Problem& finding : findings) {
      std::cout << "warning: " << finding.json_path << ": " << finding.message << "\n";
    }
    std::cout << FormatDifferences(differences);
    return;
  }
  nlohmann::json report = {{"valid", true}, {"warnings", nlohmann::json::array()}};
  for (const Problem& finding : findings) {
    report["warnings"].push_back({{"path", finding.json_path}, {"message", finding.message}});
  }
  if (NamesControlInstances(options)) {
    report["differences"] = ToJson(differences);
  }
  std::cout << report.dump() << "\n";
}

int CheckConfiguration(const CommandOptions& options, const std::string& text) {
  const SubmittedConfiguration submitted{text};
  const CheckedConfiguration checked = ParseAndCheck(submitted);
  if (options.stage.empty()) {
    PrintFindings(options, text, LintConfiguration(checked));
    return 0;
  }
  if (options.stage == "submitted") {
    std::cout << ToJson(submitted) << "\n";
  } else if (options.stage == "parsed") {
    std::cout << ToJson(Parse(submitted)) << "\n";
  } else if (options.stage == "checked") {
    std::cout << ToJson(checked) << "\n";
  } else if (options.stage == "compiled") {
    const PresetName preset = checked.preset_in_force.value_or(checked.presets.front().name);
    std::cout << ToJson(*Compile(checked, ConfigVersion(1), preset)) << "\n";
  } else {
    throw UserError(ResultCode::kUsage, "--stage must be submitted, parsed, checked or compiled");
  }
  return 0;
}

struct MemberRow {
  std::string data_centre;
  nlohmann::json member;
};

std::vector<MemberRow> CollectMembers(const std::vector<nlohmann::json>& views) {
  std::vector<MemberRow> lines;
  std::set<std::string> seen;
  for (const nlohmann::json& view : views) {
    for (const nlohmann::json& member : view.at("members")) {
      if (seen.insert(member.at("instance").get<std::string>()).second) {
        lines.push_back({view.at("data_centre").get<std::string>(), member});
      }
    }
  }
  return lines;
}

nlohmann::json NewestView(const std::vector<nlohmann::json>& views) {
  nlohmann::json newest;
  for (const nlohmann::json& view : views) {
    const auto rank = [](const nlohmann::json& each) {
      return std::pair(each.at("confirmed").get<bool>(), each.at("version").get<uint64_t>());
    };
    if (newest.is_null() || rank(view) > rank(newest)) {
      newest = view;
    }
  }
  return newest;
}

std::vector<std::string> InstancesBehind(const std::vector<MemberRow>& lines, uint64_t version) {
  std::vector<std::string> names;
  for (const MemberRow& line : lines) {
    if (line.member.at("version").get<uint64_t>() < version) {
      names.push_back(line.member.at("instance").get<std::string>());
    }
  }
  return names;
}

void PrintShow(const nlohmann::json& newest, const std::vector<MemberRow>& lines,
               const std::vector<std::string>& lagging) {
  std::cout << "version   " << newest.at("version")
            << (newest.at("confirmed") ? "" : " (unconfirmed: no majority answered)")
            << "\npreset    " << newest.at("preset").get<std::string>() << "\nleader    "
            << newest.at("leader").get<std::string>() << " (term " << newest.at("term") << ")"
            << "\nservices  ";
  for (const auto& service : newest.at("services")) {
    std::cout << service.get<std::string>() << " ";
  }
  std::cout << "\nlacking the version: " << lagging.size() << "\n";
  for (const std::string& name : lagging) {
    std::cout << "  " << name << "\n";
  }
  std::cout << "members\n";
  for (const MemberRow& line : lines) {
    const nlohmann::json& member = line.member;
    std::cout << "  " << line.data_centre << " " << member.at("instance").get<std::string>() << " "
              << member.at("state").get<std::string>() << " version " << member.at("version");
    if (!member.at("service").get<std::string>().empty()) {
      std::cout << " " << member.at("service").get<std::string>() << "/"
                << member.at("target").get<std::string>() << " free " << member.at("free_slots")
                << " of " << member.at("slots");
    }
    std::cout << "\n";
  }
}

std::optional<uint64_t> ParseVersion(const std::string& argument) {
  if (argument.empty() || argument.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::stoull(argument);
}

// Returns the stored text of a version or the content of a file. A file may omit the preset in
// force; a stored text always contains it.
std::string ReadVersionOrFile(OperatorClient& client, const std::string& argument) {
  const std::optional<uint64_t> version = ParseVersion(argument);
  return version ? FetchVersionText(client, *version) : ReadTextFile(argument);
}

void PrintHistory(const nlohmann::json& entries, bool json) {
  for (const nlohmann::json& entry : entries) {
    if (json) {
      std::cout << entry.dump() << std::endl;
      continue;
    }
    std::cout << entry.at("version") << "  " << entry.at("kind").get<std::string>() << "  preset "
              << entry.at("preset").get<std::string>() << "  by "
              << entry.at("author").get<std::string>() << "  operation "
              << entry.at("operation").get<std::string>() << std::endl;
  }
}

}  // namespace

int RunCheck(const CommandOptions& options) {
  const std::string& path = RequiredArgument(options, 0, "FILE");
  const std::string text = ReadTextFile(path);
  const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
  const std::string folder = std::filesystem::absolute(path).parent_path().string();
  if (document.is_object() && document.contains("data_folder")) {
    ParseControlSettings(text, folder);
  } else if (document.is_object() && document.contains("listen")) {
    ParseDaemonSettings(text, folder);
  } else {
    return CheckConfiguration(options, text);
  }
  std::cout << (options.json ? "{\"valid\":true}" : "valid") << "\n";
  return 0;
}

int RunSubmit(const CommandOptions& options) {
  const std::string document = ReadTextFile(RequiredArgument(options, 0, "FILE"));
  return SendChange(options, "submit", {{"document", document}});
}

int RunPreset(const CommandOptions& options) {
  return SendChange(options, "switch_preset", {{"preset", RequiredArgument(options, 0, "NAME")}});
}

int RunShow(const CommandOptions& options) {
  OperatorClient client = MakeClient(options);
  const std::vector<nlohmann::json> views = client.CallAll("show", nlohmann::json::object());
  if (views.empty()) {
    throw UserError(ResultCode::kControlUnreachable, "no control instance responds");
  }
  const nlohmann::json newest = NewestView(views);
  const std::vector<MemberRow> lines = CollectMembers(views);
  const std::vector<std::string> lagging =
      InstancesBehind(lines, newest.at("version").get<uint64_t>());
  if (options.json) {
    nlohmann::json members = nlohmann::json::array();
    for (const MemberRow& line : lines) {
      members.push_back(line.member);
      members.back()["data_centre"] = line.data_centre;
    }
    nlohmann::json report = newest;
    report["members"] = members;
    report["lacking_the_version"] = lagging;
    std::cout << report.dump() << "\n";
  } else {
    PrintShow(newest, lines, lagging);
  }
  const bool confirmed = newest.at("confirmed").get<bool>();
  return confirmed ? 0 : Describe(ResultCode::kNoMajority).exit_status;
}

int RunGet(const CommandOptions& options) {
  OperatorClient client = MakeClient(options);
  const std::string text = FetchVersionText(client, options.version.value_or(0));
  std::cout << (options.json ? text : nlohmann::json::parse(text).dump(2)) << "\n";
  return 0;
}

int RunDiff(const CommandOptions& options) {
  OperatorClient client = MakeClient(options);
  const std::string before = ReadVersionOrFile(client, RequiredArgument(options, 0, "VERSION"));
  const std::string after = options.arguments.size() > 1
                                ? ReadVersionOrFile(client, options.arguments[1])
                                : FetchVersionText(client, 0);
  const std::vector<Difference> differences = WithoutApiKeys(DiffDocuments(before, after));
  if (!options.json) {
    std::cout << FormatDifferences(differences);
    return 0;
  }
  std::cout << ToJson(differences).dump() << "\n";
  return 0;
}

int RunHistory(const CommandOptions& options) {
  OperatorClient client = MakeClient(options);
  const nlohmann::json answer = client.Call("history", {{"after", options.after.value_or(0)}});
  PrintHistory(answer.at("history"), options.json);
  return 0;
}

int RunWatch(const CommandOptions& options) {
  OperatorClient client = MakeClient(options);
  uint64_t after = options.after ? *options.after : BaseVersionOrZero(options, client);
  while (true) {
    const nlohmann::json entries = client.Call("history", {{"after", after}}).at("history");
    PrintHistory(entries, options.json);
    if (!entries.empty()) {
      after = entries.back().at("version").get<uint64_t>();
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
}

int RunDrain(const CommandOptions& options) {
  OperatorClient client = MakeClient(options);
  const std::string& target = RequiredArgument(options, 0, "TARGET");
  // Only the control instances in the target's data centre know the target.
  const std::vector<nlohmann::json> views = client.CallAll("drain", {{"target", target}});
  if (views.empty()) {
    throw UserError(ResultCode::kUnknownTarget, "no control instance has the target " + target);
  }
  std::cout << (options.json ? views.front().dump() : "draining " + target) << "\n";
  return 0;
}

}  // namespace endivecleat

// Load generator: sends reads and confirmations to the daemons of a deployment and checks every
// response. Each confirmation key is sent through several daemons, sequentially and concurrently,
// until one response is final. Requires stand-in targets, whose responses echo the path and the
// key. Prints one JSON object; --answers writes one line per key: the key and its outcome (ran,
// not_run, both or unknown).
#include <popt.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "endivecleat_io.h"
#include "seeded_random.h"

namespace {

using endivecleat::Address;
using endivecleat::Duration;
using endivecleat::EventLoop;
using endivecleat::HttpClient;
using endivecleat::HttpOutcome;
using endivecleat::HttpRequest;
using endivecleat::HttpResponse;
using endivecleat::ParseAddress;
using endivecleat::ResultCode;
using endivecleat::SeededRandom;
using endivecleat::TimePoint;

constexpr size_t kConnectionsPerDaemon = 64;
// Exceeds the longest service timeout of the example configurations (3 s).
constexpr Duration kAnswerTimeout = std::chrono::seconds(6);
// Keys without a final response are resent for this long after the load ends. Exceeds the duration
// of a leader election.
constexpr Duration kResendWindow = std::chrono::seconds(15);
constexpr Duration kTickInterval = std::chrono::milliseconds(5);
constexpr int kMaxReadAttempts = 3;
constexpr uint64_t kConcurrentCopyPercent = 40;
constexpr uint64_t kShortDeadlinePercent = 15;
constexpr uint64_t kMaxShortDeadlineMs = 12;
constexpr uint64_t kResendAfterFinalPercent = 30;
constexpr uint64_t kMinResendDelayMs = 20;
constexpr uint64_t kResendJitterMs = 400;

struct Options {
  char* daemons = nullptr;
  char* reads = nullptr;
  char* confirmations = nullptr;
  char* answers = nullptr;
  int seconds = 20;
  int seed = 1;
  int read_rate = 200;
  int confirmation_rate = 40;
};

struct Confirmation {
  std::string key;
  std::string path;
  std::string body;
  std::string ran_body;  // body of the most recent response that reports a run
  int in_flight = 0;
  bool ran = false;
  bool not_run = false;
  bool final_resend_decided = false;
  bool resend_scheduled = false;

  bool IsFinal() const { return ran || not_run; }
};

using ConfirmationPtr = std::shared_ptr<Confirmation>;

struct Read {
  std::string path;
  TimePoint first_sent;
  size_t daemon = 0;  // index into daemons_
  int attempts = 1;
};

struct Counts {
  uint64_t requests = 0;
  uint64_t reads = 0;
  uint64_t reads_answered = 0;
  uint64_t reads_given_up = 0;
  uint64_t wrong_answers = 0;
  uint64_t copies = 0;
  uint64_t replayed = 0;
  std::map<std::string, uint64_t> read_results;
  std::map<std::string, uint64_t> confirmation_results;
};

std::vector<std::string> Split(const std::string& list) {
  std::vector<std::string> parts;
  std::istringstream stream(list);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

const char* OutcomeName(HttpOutcome::Kind kind) {
  switch (kind) {
    case HttpOutcome::kAnswered:
      return "answered";
    case HttpOutcome::kNotSent:
      return "not_sent";
    case HttpOutcome::kBroken:
      return "broken";
    case HttpOutcome::kTimedOut:
      break;
  }
  return "timed_out";
}

std::string ResultLabel(const HttpOutcome& outcome) {
  if (outcome.kind != HttpOutcome::kAnswered) {
    return OutcomeName(outcome.kind);
  }
  const HttpResponse& response = outcome.response;
  return response.headers.ValueOr("endivecleat-result", std::to_string(response.status));
}

bool FieldEquals(const HttpResponse& response, const char* field, const std::string& value) {
  const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
  return body.is_object() && body.contains(field) && body[field] == value;
}

class LoadGenerator {
 public:
  LoadGenerator(EventLoop& loop, const Options& options)
      : loop_(loop),
        options_(options),
        random_(static_cast<uint64_t>(options.seed)),
        read_paths_(Split(options.reads)),
        confirmation_paths_(Split(options.confirmations)),
        start_(loop.now()),
        end_(start_ + std::chrono::seconds(options.seconds)) {
    for (const std::string& daemon : Split(options.daemons)) {
      const std::optional<Address> address = ParseAddress(daemon);
      if (!address) {
        throw std::invalid_argument("\"" + daemon + "\" is not an address");
      }
      daemons_.push_back(std::make_unique<HttpClient>(loop, *address, kConnectionsPerDaemon));
    }
    Tick();
  }

  nlohmann::json Report() const {
    uint64_t ran = 0;
    uint64_t not_run = 0;
    uint64_t both = 0;
    uint64_t unknown = 0;
    for (const ConfirmationPtr& each : confirmations_) {
      ran += each->ran && !each->not_run ? 1 : 0;
      not_run += each->not_run && !each->ran ? 1 : 0;
      both += each->ran && each->not_run ? 1 : 0;
      unknown += each->IsFinal() ? 0 : 1;
    }
    return {{"requests", counts_.requests},
            {"wrong_answers", counts_.wrong_answers},
            {"reads", counts_.reads},
            {"reads_answered", counts_.reads_answered},
            {"reads_given_up", counts_.reads_given_up},
            {"read_results", counts_.read_results},
            {"read_p50_us", Percentile(50)},
            {"read_p99_us", Percentile(99)},
            {"confirmations", confirmations_.size()},
            {"copies", counts_.copies},
            {"replayed", counts_.replayed},
            {"confirmation_results", counts_.confirmation_results},
            {"ran", ran},
            {"not_run", not_run},
            {"contradictory", both},
            {"unknown", unknown}};
  }

  void WriteAnswers(std::ostream& out) const {
    for (const ConfirmationPtr& each : confirmations_) {
      const char* answer = each->ran && each->not_run ? "both"
                           : each->ran                ? "ran"
                           : each->not_run            ? "not_run"
                                                      : "unknown";
      out << each->key << " " << answer << "\n";
    }
  }

 private:
  void Tick() {
    const TimePoint now = loop_.now();
    const auto due = [&](int rate) {
      const auto elapsed = std::chrono::duration<double>(std::min(now, end_) - start_).count();
      return static_cast<uint64_t>(elapsed * rate);
    };
    while (counts_.reads < due(options_.read_rate)) {
      ++counts_.reads;
      const std::string& prefix = read_paths_[random_.Below(read_paths_.size())];
      SendRead({prefix + "/" + std::to_string(counts_.reads), now, RandomDaemon(), 1});
    }
    while (confirmations_.size() < due(options_.confirmation_rate)) {
      StartConfirmation();
    }
    if (now >= end_ && (AllFinal() || now >= end_ + kResendWindow)) {
      loop_.Stop();
      return;
    }
    loop_.RunAfter(kTickInterval, [this] { Tick(); });
  }

  bool AllFinal() const {
    return reads_in_flight_ == 0 &&
           std::all_of(confirmations_.begin(), confirmations_.end(), [](const auto& each) {
             return each->IsFinal() && each->in_flight == 0 && !each->resend_scheduled;
           });
  }

  size_t RandomDaemon() { return random_.Below(daemons_.size()); }

  void SendRead(const Read& read) {
    HttpRequest request;
    request.method = "GET";
    request.path = read.path;
    ++counts_.requests;
    ++reads_in_flight_;
    daemons_[read.daemon]->Send(std::move(request), kAnswerTimeout,
                                [this, read](const HttpOutcome& outcome) {
                                  --reads_in_flight_;
                                  OnReadOutcome(read, outcome);
                                });
  }

  // Retries on the next daemon when no response arrives, as a caller with failover does.
  void OnReadOutcome(const Read& read, const HttpOutcome& outcome) {
    ++counts_.read_results[ResultLabel(outcome)];
    if (outcome.kind != HttpOutcome::kAnswered) {
      if (read.attempts < kMaxReadAttempts) {
        SendRead(
            {read.path, read.first_sent, (read.daemon + 1) % daemons_.size(), read.attempts + 1});
      } else {
        ++counts_.reads_given_up;
      }
      return;
    }
    if (outcome.response.status != 200) {
      return;
    }
    ++counts_.reads_answered;
    latencies_.push_back(loop_.now() - read.first_sent);
    if (!FieldEquals(outcome.response, "path", read.path)) {
      ++counts_.wrong_answers;
      std::cerr << "wrong answer to " << read.path << ": " << outcome.response.body << "\n";
    }
  }

  void StartConfirmation() {
    auto confirmation = std::make_shared<Confirmation>();
    confirmation->key = "s" + std::to_string(options_.seed) + "-" + run_id_ + "-" +
                        std::to_string(confirmations_.size());
    confirmation->path = confirmation_paths_[random_.Below(confirmation_paths_.size())];
    confirmation->body = R"({"confirmation":")" + confirmation->key + "\"}";
    confirmations_.push_back(confirmation);
    // Short deadlines expire before the run, so that some keys end as "not run".
    const uint64_t timeout_ms =
        random_.Chance(kShortDeadlinePercent) ? 1 + random_.Below(kMaxShortDeadlineMs) : 0;
    SendCopy(confirmation, timeout_ms);
    if (random_.Chance(kConcurrentCopyPercent)) {
      SendCopy(confirmation, 0);
    }
  }

  void SendCopy(const ConfirmationPtr& confirmation, uint64_t timeout_ms) {
    HttpRequest request;
    request.method = "POST";
    request.path = confirmation->path;
    request.body = confirmation->body;
    request.headers.Add("idempotency-key", confirmation->key);
    request.headers.Add("content-type", "application/json");
    if (timeout_ms > 0) {
      request.headers.Add("endivecleat-timeout-ms", std::to_string(timeout_ms));
    }
    ++counts_.requests;
    ++counts_.copies;
    ++confirmation->in_flight;
    daemons_[RandomDaemon()]->Send(std::move(request), kAnswerTimeout,
                                   [this, confirmation](const HttpOutcome& outcome) {
                                     --confirmation->in_flight;
                                     OnConfirmationOutcome(confirmation, outcome);
                                   });
  }

  void OnConfirmationOutcome(const ConfirmationPtr& confirmation, const HttpOutcome& outcome) {
    ++counts_.confirmation_results[ResultLabel(outcome)];
    if (outcome.kind == HttpOutcome::kAnswered) {
      CheckResponse(*confirmation, outcome.response);
    }
    if (!confirmation->IsFinal()) {
      ScheduleResend(confirmation);
    } else if (!confirmation->final_resend_decided) {
      // A copy sent after the final response must get the same response.
      confirmation->final_resend_decided = true;
      if (random_.Chance(kResendAfterFinalPercent)) {
        ScheduleResend(confirmation);
      }
    }
  }

  void CheckResponse(Confirmation& confirmation, const HttpResponse& response) {
    const std::string result = response.headers.ValueOr("endivecleat-result", "");
    if (result == std::to_string(static_cast<int>(ResultCode::kNotRun))) {
      confirmation.not_run = true;
    } else if (response.status == 200) {
      counts_.replayed += response.headers.Contains("endivecleat-replayed") ? 1 : 0;
      CheckRanResponse(confirmation, response);
    } else if (response.status != 503 && response.status != 504) {
      ReportWrongAnswer(confirmation, response);
    }
  }

  void CheckRanResponse(Confirmation& confirmation, const HttpResponse& response) {
    const bool same = !confirmation.ran || response.body == confirmation.ran_body;
    if (!same || !FieldEquals(response, "key", confirmation.key)) {
      ReportWrongAnswer(confirmation, response);
    }
    confirmation.ran = true;
    confirmation.ran_body = response.body;
  }

  void ReportWrongAnswer(const Confirmation& confirmation, const HttpResponse& response) {
    ++counts_.wrong_answers;
    std::cerr << "wrong answer to " << confirmation.key << ": " << response.status << " "
              << response.body << "\n";
  }

  void ScheduleResend(const ConfirmationPtr& confirmation) {
    if (confirmation->resend_scheduled || loop_.now() >= end_ + kResendWindow) {
      return;
    }
    confirmation->resend_scheduled = true;
    const auto delay =
        std::chrono::milliseconds(kMinResendDelayMs + random_.Below(kResendJitterMs));
    loop_.RunAfter(delay, [this, confirmation] {
      confirmation->resend_scheduled = false;
      SendCopy(confirmation, 0);
    });
  }

  int64_t Percentile(size_t percent) const {
    if (latencies_.empty()) {
      return 0;
    }
    std::vector<Duration> sorted = latencies_;
    std::sort(sorted.begin(), sorted.end());
    return sorted[std::min(sorted.size() - 1, sorted.size() * percent / 100)].count();
  }

  EventLoop& loop_;
  Options options_;
  SeededRandom random_;
  // Makes the keys unique across runs against the same deployment.
  std::string run_id_ = std::to_string(std::chrono::system_clock::now().time_since_epoch().count());
  std::vector<std::string> read_paths_;
  std::vector<std::string> confirmation_paths_;
  TimePoint start_;
  TimePoint end_;
  Counts counts_;
  uint64_t reads_in_flight_ = 0;
  std::vector<Duration> latencies_;  // of answered reads, measured from the first attempt
  std::vector<ConfirmationPtr> confirmations_;
  std::vector<std::unique_ptr<HttpClient>> daemons_;
};

bool ReadCommandLine(int argc, char** argv, Options& options) {
  const poptOption table[] = {
      {"daemons", 0, POPT_ARG_STRING, &options.daemons, 0, "callers' addresses of the daemons",
       "ADDRESS,..."},
      {"reads", 0, POPT_ARG_STRING, &options.reads, 0, "path prefixes for reads", "PATH,..."},
      {"confirmations", 0, POPT_ARG_STRING, &options.confirmations, 0,
       "paths for at-most-once requests", "PATH,..."},
      {"answers", 0, POPT_ARG_STRING, &options.answers, 0, "output: outcome of each key", "FILE"},
      {"seconds", 0, POPT_ARG_INT, &options.seconds, 0, "duration of the load (20)", "N"},
      {"seed", 0, POPT_ARG_INT, &options.seed, 0, "random seed (1)", "N"},
      {"read-rate", 0, POPT_ARG_INT, &options.read_rate, 0, "reads per second (200)", "N"},
      {"confirmation-rate", 0, POPT_ARG_INT, &options.confirmation_rate, 0,
       "new confirmations per second (40)", "N"},
      POPT_AUTOHELP{nullptr, 0, 0, nullptr, 0, nullptr, nullptr}};
  poptContext context = poptGetContext("demo-load", argc, const_cast<const char**>(argv), table, 0);
  const bool complete = poptGetNextOpt(context) == -1 && options.daemons != nullptr &&
                        options.reads != nullptr && options.confirmations != nullptr;
  if (!complete) {
    poptPrintUsage(context, stderr, 0);
  }
  poptFreeContext(context);
  return complete;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  if (!ReadCommandLine(argc, argv, options)) {
    return 2;
  }
  try {
    EventLoop loop;
    const LoadGenerator generator(loop, options);
    loop.Run();
    std::cout << generator.Report().dump(2) << "\n";
    if (options.answers != nullptr) {
      std::ofstream answers(options.answers);
      generator.WriteAnswers(answers);
    }
  } catch (const std::exception& error) {
    std::cerr << "demo-load: " << error.what() << "\n";
    return 1;
  }
  return 0;
}

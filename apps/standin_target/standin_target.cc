// Fake target for tests and demos. Announces itself to its daemon, serves reads and at-most-once
// requests, and appends the key of each at-most-once request that it runs to a journal, so that a
// duplicate run is detectable. /healthz returns 200, /crash exits the process, /slow takes 300 ms;
// all other paths are served after the service time. Responses echo the path, and for a POST with
// an Idempotency-Key also the key and how often it ran. Bodies of paths that begin with /upload are
// read in pieces and not kept: the response tells their size and checksum. /upload/early responds
// before it reads the body. The journal gets a line for each body that has ended.
#include <popt.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "endivecleat_io.h"

namespace {

using endivecleat::Address;
using endivecleat::BodyStream;
using endivecleat::Duration;
using endivecleat::EventLoop;
using endivecleat::HttpClient;
using endivecleat::HttpOutcome;
using endivecleat::HttpRequest;
using endivecleat::HttpResponse;
using endivecleat::HttpServer;
using endivecleat::HttpServerLimits;
using endivecleat::ParseAddress;
using endivecleat::ReadTokenFile;
using endivecleat::ResponseSink;
using endivecleat::SignalWatch;

constexpr Duration kAnnounceInterval = std::chrono::seconds(2);
constexpr Duration kAnnounceTimeout = std::chrono::seconds(1);
constexpr uint64_t kMaxUploadBytes = 256U << 20U;
// FNV-1a, 64 bits.
constexpr uint64_t kChecksumStart = 0xcbf29ce484222325U;
constexpr uint64_t kChecksumFactor = 0x100000001b3U;
constexpr Duration kSlowServiceTime = std::chrono::milliseconds(300);

struct Options {
  char* listen = nullptr;
  char* announce = nullptr;
  char* daemon = nullptr;
  char* service = nullptr;
  char* target = nullptr;
  char* token_file = nullptr;
  char* journal = nullptr;
  char* requests = nullptr;
  int slots = 9;
  int connections = 130;
  int service_time_us = 1000;
  int linger_ms = 2000;
};

uint64_t Checksum(uint64_t checksum, const std::string& bytes) {
  for (const char byte : bytes) {
    checksum = (checksum ^ static_cast<unsigned char>(byte)) * kChecksumFactor;
  }
  return checksum;
}

int64_t WallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

class StandinTarget {
 public:
  StandinTarget(EventLoop& loop, const Options& options)
      : loop_(loop),
        options_(options),
        listen_address_(ParseAddress(options.listen).value()),
        announced_address_(options.announce == nullptr ? listen_address_
                                                       : ParseAddress(options.announce).value()),
        token_(ReadTokenFile(options.token_file)),
        announce_client_(loop, ParseAddress(options.daemon).value(), 1),
        server_(loop, listen_address_, Limits(),
                [this](const HttpRequest& request, const ResponseSink& sink) {
                  Handle(request, sink);
                }) {
    server_.StreamBodies([](const HttpRequest& request) { return IsUpload(request); });
    if (options.journal != nullptr) {
      journal_.open(options.journal, std::ios::app);
    }
    if (options.requests != nullptr) {
      request_log_.open(options.requests, std::ios::app);
    }
    AnnouncePeriodically();
  }

  // Withdraws the announcement, and exits after the linger time once no request is in flight. The
  // linger time lets the daemon send the requests that it has already admitted.
  void Drain() {
    draining_ = true;
    Announce("DELETE");
    StopAfterLinger(options_.linger_ms / 100);
  }

 private:
  /// The body of an upload, while it is read.
  struct Upload {
    std::shared_ptr<BodyStream> body;
    uint64_t bytes = 0;
    uint64_t checksum = kChecksumStart;
  };

  static HttpServerLimits Limits() {
    HttpServerLimits limits;
    limits.message.streamed_body = endivecleat::ByteCount(kMaxUploadBytes);
    return limits;
  }

  static bool IsUpload(const HttpRequest& request) { return request.path.starts_with("/upload"); }

  void HandleUpload(const HttpRequest& request, const ResponseSink& sink) {
    auto upload = std::make_shared<Upload>(Upload{request.body_stream});
    const bool early = request.path == "/upload/early";
    if (early) {
      sink.Send({200, {}, "early"});
    }
    upload->body->SetReaderListener([this, upload, sink, early] {
      loop_.Post([this, upload, sink, early] { ReadUpload(*upload, sink, early); });
    });
    upload->body->Open();
    ReadUpload(*upload, sink, early);
  }

  void ReadUpload(Upload& upload, const ResponseSink& sink, bool early) {
    const std::string piece = upload.body->Read(SIZE_MAX);
    upload.bytes += piece.size();
    upload.checksum = Checksum(upload.checksum, piece);
    if (!upload.body->finished() && !upload.body->cancelled()) {
      return;
    }
    upload.body->SetReaderListener(nullptr);
    const std::string text = std::to_string(upload.bytes) + " " + std::to_string(upload.checksum) +
                             (upload.body->finished() ? "" : " cancelled");
    journal_ << "uploaded " << text << std::endl;
    if (!early) {
      sink.Send({200, {}, text});
    }
  }

  void Handle(const HttpRequest& request, const ResponseSink& sink) {
    if (request.path == "/healthz") {
      sink.Send({200, {}, "ok\n"});
      return;
    }
    if (request_log_.is_open()) {
      request_log_ << WallClockMs() << " " << request.method << " " << request.path << std::endl;
    }
    if (request.body_stream) {
      HandleUpload(request, sink);
      return;
    }
    if (request.path == "/crash") {
      _exit(1);
    }
    const Duration time = request.path == "/slow"
                              ? kSlowServiceTime
                              : std::chrono::microseconds(options_.service_time_us);
    loop_.RunAfter(time, [this, request, sink] { sink.Send(BuildResponse(request)); });
  }

  HttpResponse BuildResponse(const HttpRequest& request) {
    HttpResponse response;
    response.status = 200;
    response.headers.Add("content-type", "application/json");
    nlohmann::json body = {{"target", options_.target}, {"path", request.path}};
    const std::string key = request.headers.ValueOr("idempotency-key", "");
    if (request.method == "POST" && !key.empty()) {
      body["key"] = key;
      body["run"] = ++runs_by_key_[key];
      journal_ << key << std::endl;
    }
    response.body = body.dump();
    return response;
  }

  void AnnouncePeriodically() {
    if (!draining_) {
      Announce("POST");
      loop_.RunAfter(kAnnounceInterval, [this] { AnnouncePeriodically(); });
    }
  }

  void Announce(const std::string& method) {
    HttpRequest request;
    request.method = method;
    request.path = "/announce";
    request.headers.Add("authorization", "Bearer " + token_);
    if (method == "POST") {
      request.body =
          nlohmann::json{{"service", options_.service},      {"target", options_.target},
                         {"address", announced_address_.ip}, {"port", announced_address_.port},
                         {"slots", options_.slots},          {"connections", options_.connections}}
              .dump();
    }
    announce_client_.Send(std::move(request), kAnnounceTimeout, [this](const HttpOutcome& outcome) {
      const bool accepted = outcome.kind == HttpOutcome::kAnswered && outcome.response.status < 300;
      if (!accepted && !draining_) {
        loop_.RunAfter(std::chrono::milliseconds(200), [this] {
          if (!draining_) {
            Announce("POST");
          }
        });
      }
    });
  }

  void StopAfterLinger(int polls_left) {
    if (polls_left == 0 && server_.in_flight() == 0) {
      loop_.Stop();
      return;
    }
    loop_.RunAfter(std::chrono::milliseconds(100),
                   [this, polls_left] { StopAfterLinger(polls_left > 0 ? polls_left - 1 : 0); });
  }

  EventLoop& loop_;
  Options options_;
  Address listen_address_;
  Address announced_address_;  // of the proxy in front of this target, else listen_address_
  std::string token_;
  HttpClient announce_client_;
  std::map<std::string, int> runs_by_key_;
  std::ofstream journal_;
  std::ofstream request_log_;
  bool draining_ = false;
  HttpServer server_;
};

}  // namespace

int main(int argc, char** argv) {
  Options options;
  const poptOption table[] = {
      {"listen", 0, POPT_ARG_STRING, &options.listen, 0, "address to listen on", "ADDRESS"},
      {"announce", 0, POPT_ARG_STRING, &options.announce, 0,
       "address to announce (default: --listen)", "ADDRESS"},
      {"daemon", 0, POPT_ARG_STRING, &options.daemon, 0, "local address of the daemon", "ADDRESS"},
      {"service", 0, POPT_ARG_STRING, &options.service, 0, "service name", "NAME"},
      {"target", 0, POPT_ARG_STRING, &options.target, 0, "target id", "ID"},
      {"token-file", 0, POPT_ARG_STRING, &options.token_file, 0, "file with the announce token",
       "FILE"},
      {"journal", 0, POPT_ARG_STRING, &options.journal, 0, "output: key of each at-most-once run",
       "FILE"},
      {"requests", 0, POPT_ARG_STRING, &options.requests, 0,
       "output: time, method and path of each request", "FILE"},
      {"linger", 0, POPT_ARG_INT, &options.linger_ms, 0, "minimum time from SIGTERM to exit (2000)",
       "MS"},
      {"slots", 0, POPT_ARG_INT, &options.slots, 0, "slots to announce (9)", "N"},
      {"connections", 0, POPT_ARG_INT, &options.connections, 0, "connections to announce (130)",
       "N"},
      {"service-time", 0, POPT_ARG_INT, &options.service_time_us, 0,
       "service time of a request (1000)", "US"},
      POPT_AUTOHELP{nullptr, 0, 0, nullptr, 0, nullptr, nullptr}};
  poptContext context =
      poptGetContext("standin-target", argc, const_cast<const char**>(argv), table, 0);
  const bool complete = poptGetNextOpt(context) == -1 && options.listen != nullptr &&
                        options.daemon != nullptr && options.service != nullptr &&
                        options.target != nullptr && options.token_file != nullptr;
  if (!complete) {
    poptPrintUsage(context, stderr, 0);
    return 2;
  }
  try {
    EventLoop loop;
    StandinTarget target(loop, options);
    const SignalWatch signals(loop, {SIGTERM, SIGINT}, [&](int) { target.Drain(); });
    loop.Run();
  } catch (const std::exception& error) {
    std::cerr << "standin-target: " << error.what() << "\n";
    return 1;
  }
  poptFreeContext(context);
  return 0;
}

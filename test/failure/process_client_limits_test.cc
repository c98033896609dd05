// Guards against clients that end a process or keep it from serving others: with heads, empty lines
// and bodies that are too large, that never end, that are too many at once or that stop just short
// of their end, with many connections, and by never reading a response. Runs real processes and
// checks only that they are alive, that their memory and descriptors stay bounded, and that an
// ordinary request is answered. With ENDIVECLEAT_TEST_WITHOUT_INGRESS set, the processes run
// without the lowered limits, which earlier versions of the program refuse as unknown settings.
#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "client_crowd.h"
#include "platform_pair.h"
#include "process_cluster.h"

namespace endivecleat::test {
namespace {

constexpr size_t kIngressBytes = size_t{8} << 20U;
constexpr size_t kConnections = 128;
// Three times the budget of bytes: strings grow by doubling, and the heap keeps part of what was
// freed.
constexpr double kMaxGrowthKb = 3.0 * kIngressBytes / 1024;
// Connections of the crowd, and those of the process itself.
constexpr size_t kMaxDescriptorGrowth = kConnections + 64;
constexpr size_t kBodyBytes = 900'000;
constexpr size_t kBodies = 60;
constexpr size_t kChunkedClients = 100;
constexpr size_t kHeads = 40;
constexpr size_t kIdleClients = 400;
constexpr size_t kSilentReaders = 40;

nlohmann::json Limits() {
  if (std::getenv("ENDIVECLEAT_TEST_WITHOUT_INGRESS") != nullptr) {
    return {};
  }
  return {{"bytes", kIngressBytes}, {"connections", kConnections}};
}

/// A port that clients use, and a process that serves it.
struct Port {
  Address address;
  pid_t process;
  std::string upload;    // request line of a request with a body
  std::string ordinary;  // path of an ordinary request
};

std::string Head(const std::string& request_line, const std::string& fields) {
  return request_line + " HTTP/1.1\r\nHost: mesh\r\n" + fields;
}

ClientScript BodyShortOfItsEnd(const Port& port) {
  ClientScript script;
  script.start = Head(port.upload, "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n") +
                 std::string(kBodyBytes - 1, 'b');
  return script;
}

ClientScript BodyInPieces(const Port& port) {
  ClientScript script = BodyShortOfItsEnd(port);
  script.piece_bytes = 1000;
  return script;
}

ClientScript WholeBody(const Port& port) {
  ClientScript script = BodyShortOfItsEnd(port);
  script.end = "b";
  return script;
}

ClientScript LargeChunks(const Port& port) {
  ClientScript script;
  script.start = Head(port.upload, "Transfer-Encoding: chunked\r\n\r\n");
  script.repeated = "10000\r\n" + std::string(0x10000, 'c') + "\r\n";
  script.repetitions = 14;
  return script;
}

ClientScript OneByteChunks(const Port& port) {
  ClientScript script;
  script.start = Head(port.upload, "Transfer-Encoding: chunked\r\n\r\n");
  for (int chunk = 0; chunk < 1000; ++chunk) {
    script.repeated += "1\r\nc\r\n";
  }
  script.repetitions = 200;
  return script;
}

ClientScript HeadOverTheLimit(const Port& port) {
  ClientScript script;
  script.start = Head("GET " + port.ordinary, "");
  script.repeated = "X-Padding: " + std::string(987, 'x') + "\r\n";
  script.repetitions = 2000;
  script.end = "\r\n";
  return script;
}

ClientScript HeadWithoutEnd(const Port& port) {
  ClientScript script = HeadOverTheLimit(port);
  script.repetitions = ClientScript::kEndless;
  return script;
}

ClientScript EmptyLines() {
  ClientScript script;
  for (int line = 0; line < 10'000; ++line) {
    script.repeated += "\r\n";
  }
  script.repetitions = 20;
  return script;
}

ClientScript EmptyLinesWithoutEnd() {
  ClientScript script = EmptyLines();
  script.repetitions = ClientScript::kEndless;
  return script;
}

ClientScript NeverReads(const Port& port) {
  ClientScript script;
  for (int request = 0; request < 16; ++request) {
    script.start += Head("GET " + port.ordinary, "\r\n");
  }
  script.reads = false;
  return script;
}

}  // namespace

TEST_GROUP(ProcessClientLimits) {
  PlatformPair pair{Limits()};

  Port Callers() const { return {pair.callers(), pair.daemon(), "POST /invoices", "/bins"}; }
  Port Announcements() const {
    return {pair.announcements(), pair.daemon(), "PUT /-/instances/target-9", "/-/readiness"};
  }
  Port Operators() const {
    return {pair.operators(), pair.control(), "PUT /-/config", "/-/config"};
  }

  void RequireServes(const Port& port, size_t clients, const ClientScript& script) {
    const double memory = PeakMemoryKb(port.process);
    const size_t descriptors = OpenDescriptors(port.process);
    ClientCrowd crowd(port.address, clients, script);
    crowd.WaitUntilSent();
    const HttpResponse response = ExchangeWith(port.address, GetRequest(port.ordinary));
    CHECK(IsAlive(port.process));
    const size_t open = OpenDescriptors(port.process);
    const double growth = PeakMemoryKb(port.process) - memory;
    UT_PRINT(("memory +" + std::to_string(static_cast<int>(growth)) + " KiB, descriptors " +
              std::to_string(descriptors) + " to " + std::to_string(open))
                 .c_str());
    LONGS_EQUAL(200, response.status);
    CHECK(open <= descriptors + kMaxDescriptorGrowth);
    CHECK(growth <= kMaxGrowthKb);
  }
};

#define CLIENT_LIMIT_TEST(name, clients, script)   \
  TEST(ProcessClientLimits, Callers##name) {       \
    CHECK(pair.Start());                           \
    const Port port = Callers();                   \
    RequireServes(port, clients, script);          \
  }                                                \
  TEST(ProcessClientLimits, Announcements##name) { \
    CHECK(pair.Start());                           \
    const Port port = Announcements();             \
    RequireServes(port, clients, script);          \
  }                                                \
  TEST(ProcessClientLimits, Operators##name) {     \
    CHECK(pair.Start());                           \
    const Port port = Operators();                 \
    RequireServes(port, clients, script);          \
  }                                                \
  static_assert(true)

CLIENT_LIMIT_TEST(HeadsOverTheLimit, kHeads, HeadOverTheLimit(port));
CLIENT_LIMIT_TEST(HeadsWithoutEnd, kHeads, HeadWithoutEnd(port));
CLIENT_LIMIT_TEST(EmptyLines, kHeads, EmptyLines());
CLIENT_LIMIT_TEST(EmptyLinesWithoutEnd, kHeads, EmptyLinesWithoutEnd());
CLIENT_LIMIT_TEST(BodiesShortOfTheirEnd, kBodies, BodyShortOfItsEnd(port));
CLIENT_LIMIT_TEST(BodiesInPieces, kBodies, BodyInPieces(port));
CLIENT_LIMIT_TEST(WholeBodies, kBodies, WholeBody(port));
CLIENT_LIMIT_TEST(LargeChunks, kBodies, LargeChunks(port));
CLIENT_LIMIT_TEST(OneByteChunks, kChunkedClients, OneByteChunks(port));
CLIENT_LIMIT_TEST(IdleConnections, kIdleClients, ClientScript());
CLIENT_LIMIT_TEST(ResponsesNeverRead, kSilentReaders, NeverReads(port));

// Guards against a document of legal size whose small values take many times its size once parsed.
TEST(ProcessClientLimits, OperatorsDocumentOfManySmallValues) {
  CHECK(pair.Start());
  const Port port = Operators();
  std::string body = R"({"version":"00000002","baseVersion":"00000001","resources":[)";
  while (body.size() < (size_t{7} << 20U)) {
    body += "[],[],[],[],[],[],[],[],";
  }
  body += "[]]}";
  ClientScript script;
  script.start =
      Head(port.upload, "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n") + body;
  RequireServes(port, 1, script);
}

// A response of more than a megabyte, which the kernel's buffers do not take in whole.
TEST(ProcessClientLimits, OperatorsLargeResponsesNeverRead) {
  CHECK(pair.Start());
  HttpRequest submit;
  submit.method = "PUT";
  submit.path = "/-/config";
  submit.body = PlatformPair::Document(2, 1, size_t{1500} << 10U);
  CHECK(WaitFor([&] { return ExchangeWith(pair.operators(), submit).status == 200; }));
  const Port port = Operators();
  LONGS_EQUAL(200, ExchangeWith(port.address, GetRequest(port.ordinary)).status);
  RequireServes(port, kSilentReaders, NeverReads(port));
}

}  // namespace endivecleat::test

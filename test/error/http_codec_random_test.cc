// Feeds the HTTP codec with damaged requests and responses from a seeded generator, whole and in
// random pieces. Guards against input that crashes or never ends a reader, that yields a message
// beyond its limits or one that cannot be forwarded, and that is framed differently depending on
// how it arrives.
#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <limits>
#include <string>
#include <type_traits>
#include <vector>

#include "http_codec.h"
#include "seeded_random.h"
#include "test_seed.h"

using namespace endivecleat;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kCases = 20'000;
constexpr size_t kMaxMessages = 8;
const MessageLimits kLimits = {.body = ByteCount(1000), .header = ByteCount(1024)};

template <size_t N>
std::string OneOf(SeededRandom& random, const std::array<const char*, N>& choices) {
  return choices[random.Below(N)];
}

std::string FieldLine(SeededRandom& random) {
  static constexpr std::array kNames = {"Host",       "Content-Length", "Transfer-Encoding",
                                        "Connection", "Expect",         "X-Field",
                                        "Trailer",    "host",           "Content-Length "};
  static constexpr std::array kValues = {
      "h",     "5",          "0", "chunked",  "5, 5",         "-1",
      "close", "keep-alive", "",  "\x01\x7f", "100-continue", "4294967296"};
  return OneOf(random, kNames) + ":" + (random.Chance(90) ? " " : "") + OneOf(random, kValues) +
         (random.Chance(95) ? "\r\n" : "\n");
}

std::string Body(SeededRandom& random) {
  static constexpr std::array kBodies = {"",
                                         "hello",
                                         "5\r\nhello\r\n0\r\n\r\n",
                                         "1\r\na\r\n1;x=\"y\r\n\"\r\nb\r\n0\r\n\r\n",
                                         "5\r\nhello\r\n0\r\nX-Trailer: 1\r\n\r\n",
                                         "ffffffffffffffff\r\nhello",
                                         "-5\r\nhello\r\n0\r\n\r\n",
                                         "0\r\n",
                                         "5\nhello\n0\n\n"};
  return random.Chance(5) ? std::string(random.Below(2000), 'b') : OneOf(random, kBodies);
}

std::string Fields(SeededRandom& random, bool request) {
  std::string fields = request && random.Chance(80) ? "Host: h\r\n" : "";
  if (random.Chance(40)) {
    fields += random.Chance(50) ? "Content-Length: 5\r\n" : "Transfer-Encoding: chunked\r\n";
  }
  for (uint64_t count = random.Below(4); count > 0; --count) {
    fields += FieldLine(random);
  }
  if (random.Chance(3)) {
    fields += "X-Long: " + std::string(random.Below(3000), 'x') + "\r\n";
  }
  return fields + (random.Chance(95) ? "\r\n" : "");
}

std::string Request(SeededRandom& random) {
  static constexpr std::array kMethods = {"GET", "POST", "PUT", "HEAD", "BREW", "get", ""};
  static constexpr std::array kTargets = {"/", "/a?b=c", "*", "a", "/\x80", "", "http://h/"};
  static constexpr std::array kVersions = {"HTTP/1.1", "HTTP/1.0", "HTTP/2.0", "HTTP/1.", ""};
  std::string empty_lines;
  for (uint64_t count = random.Chance(10) ? random.Below(40) : 0; count > 0; --count) {
    empty_lines += "\r\n";
  }
  return empty_lines + OneOf(random, kMethods) + " " + OneOf(random, kTargets) + " " +
         OneOf(random, kVersions) + "\r\n" + Fields(random, true) + Body(random);
}

std::string Response(SeededRandom& random) {
  static constexpr std::array kStatuses = {"200", "204", "304",  "404", "503", "100", "101", "103",
                                           "000", "099", "1000", "2x0", "-20", "600", "",    "20"};
  return "HTTP/1.1 " + OneOf(random, kStatuses) + (random.Chance(90) ? " Text\r\n" : "\r\n") +
         Fields(random, false) + Body(random);
}

std::string Damaged(SeededRandom& random, std::string text) {
  for (uint64_t count = random.Below(4); count > 0 && !text.empty(); --count) {
    const size_t position = random.Below(text.size());
    switch (random.Below(4)) {
      case 0:
        text[position] = static_cast<char>(random.Below(256));
        break;
      case 1:
        text.erase(position, random.Below(8));
        break;
      case 2:
        text.insert(position, text.substr(random.Below(text.size()), random.Below(16)));
        break;
      default:
        text.resize(position);
        break;
    }
  }
  return text;
}

/// What a reader made of the bytes.
struct Outcome {
  std::vector<std::string> messages;
  bool failed = false;

  bool operator==(const Outcome&) const = default;
};

void CheckMessage(const HttpRequest& request) {
  CHECK(IsSerializable(request));
  CHECK(request.path.starts_with("/") || request.path == "*");
  CHECK(request.body.size() <= kLimits.body.value());
}

void CheckMessage(const HttpResponse& response) {
  CHECK(response.status >= 200 && response.status <= 599);
  CHECK(response.body.size() <= kLimits.body.value());
}

std::string Text(const HttpRequest& request) {
  return request.method + " " + request.path + "?" + request.query + "\n" + request.body;
}

std::string Text(const HttpResponse& response) {
  return std::to_string(response.status) + "\n" + response.body;
}

/// Feeds the bytes in pieces of at most the given size. A piece is followed by others only after
/// the reader has asked for more.
template <class Reader>
Outcome Read(Reader& reader, const std::string& text, size_t max_piece, SeededRandom& random) {
  Outcome outcome;
  std::string input;
  size_t position = 0;
  while (outcome.messages.size() < kMaxMessages) {
    const size_t before = input.size();
    const ReadStatus status = reader.Feed(input);
    CHECK(input.size() <= before);
    if (status == ReadStatus::kError) {
      outcome.failed = true;
      return outcome;
    }
    if (status == ReadStatus::kComplete) {
      const auto message = reader.Take();
      CheckMessage(message);
      outcome.messages.push_back(Text(message));
      if constexpr (std::is_same_v<Reader, ResponseReader>) {
        reader.ResetFor("GET");
      }
      continue;
    }
    if (position == text.size()) {
      return outcome;
    }
    const size_t piece = std::min(text.size() - position, 1 + random.Below(max_piece));
    input.append(text, position, piece);
    position += piece;
  }
  return outcome;
}

template <class Reader>
void RequireSameFraming(const std::string& text, SeededRandom& random) {
  Reader whole(kLimits);
  Reader pieces(kLimits);
  Reader bytes(kLimits);
  // Ends each head, so that a reader that waits for the end of one finds its error as well.
  const std::string ended = text + "\r\n\r\n";
  const Outcome expected = Read(whole, ended, SIZE_MAX, random);
  CHECK_TEXT(expected == Read(pieces, ended, 40, random), text.c_str());
  CHECK_TEXT(expected == Read(bytes, ended, 1, random), text.c_str());
}

}  // namespace

TEST_GROUP(HttpCodecRandom){};

TEST(HttpCodecRandom, DamagedRequestsAreFramedAlikeHoweverTheyArrive) {
  SeededRandom random(endivecleat::test::TestSeed(11));
  for (int index = 0; index < kCases; ++index) {
    std::string text;
    for (uint64_t count = random.Below(3) + 1; count > 0; --count) {
      text += Request(random);
    }
    RequireSameFraming<RequestReader>(Damaged(random, text), random);
  }
}

TEST(HttpCodecRandom, DamagedResponsesAreFramedAlikeHoweverTheyArrive) {
  SeededRandom random(endivecleat::test::TestSeed(11));
  for (int index = 0; index < kCases; ++index) {
    std::string text;
    for (uint64_t count = random.Below(3) + 1; count > 0; --count) {
      text += Response(random);
    }
    RequireSameFraming<ResponseReader>(Damaged(random, text), random);
  }
}

// The listener of the stream owns what has been read so far.
#include "whole_body.h"

#include <utility>

namespace endivecleat {
namespace {

struct Reading {
  ByteCount limit;
  std::string body;
  std::function<void(std::optional<std::string>)> done;
  bool reading = false;
};

void Continue(const std::shared_ptr<BodyStream>& stream, const std::shared_ptr<Reading>& reading) {
  if (!reading->done || stream->cancelled() || reading->reading) {
    return;  // the loop below takes what the writer adds while a piece is taken
  }
  reading->reading = true;
  bool too_large = false;
  for (std::string piece = stream->Read(SIZE_MAX); !piece.empty() && !too_large;
       piece = too_large ? "" : stream->Read(SIZE_MAX)) {
    reading->body += piece;
    too_large = reading->body.size() > reading->limit.value();
  }
  reading->reading = false;
  if (!too_large && !stream->finished()) {
    return;
  }
  stream->SetReaderListener(nullptr);
  if (const auto done = std::exchange(reading->done, nullptr)) {
    done(too_large ? std::nullopt : std::optional(std::move(reading->body)));
  }
}

}  // namespace

void ReadWholeBody(const std::shared_ptr<BodyStream>& stream, ByteCount limit,
                   std::function<void(std::optional<std::string>)> done) {
  auto reading = std::make_shared<Reading>(Reading{limit, {}, std::move(done)});
  stream->SetReaderListener([weak = std::weak_ptr(stream), reading] {
    if (const auto active = weak.lock()) {
      Continue(active, reading);
    }
  });
  stream->Open();
  Continue(stream, reading);
}

}  // namespace endivecleat

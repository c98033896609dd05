// Reads a streamed body as a whole, for a daemon of the version before, which knows no uploads.
#ifndef ENDIVECLEAT_WHOLE_BODY_H_
#define ENDIVECLEAT_WHOLE_BODY_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "body_stream.h"
#include "units.h"

namespace endivecleat {

/// Opens the stream and reads it to its end. Calls `done` once, possibly at once, with the body; or
/// with nullopt if it exceeds the limit. Does not call it if the stream is cancelled.
void ReadWholeBody(const std::shared_ptr<BodyStream>& stream, ByteCount limit,
                   std::function<void(std::optional<std::string>)> done);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_WHOLE_BODY_H_

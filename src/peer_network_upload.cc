// The uploads of PeerNetwork: connects the senders and receivers of request bodies to the frames of
// their links.
#include <utility>

#include "peer_network_impl.h"

namespace endivecleat {

/// Only the side that opened the link sends requests and their bodies, and only the other side
/// responds and grants credit. Both acknowledge.
bool PeerNetwork::Impl::HasDirection(const PeerLink& link, PeerFrameKind kind) {
  switch (kind) {
    case PeerFrameKind::kAcknowledgement:
      return true;
    case PeerFrameKind::kResponse:
    case PeerFrameKind::kBulkResponse:
    case PeerFrameKind::kUploadCredit:
      return link.outbound;
    default:
      return !link.outbound;
  }
}

void PeerNetwork::Impl::SendBody(PeerRequestId id, std::shared_ptr<BodyStream> body) {
  const auto request = requests_.find(id);
  if (request == requests_.end()) {
    return;
  }
  const auto found = links_.find(request->second.link_id);
  if (found == links_.end()) {
    return;  // the outcome is already posted
  }
  const PeerChannel channel = request->second.channel;
  const uint32_t stream = request->second.stream;
  found->second->sent_uploads[stream] = std::make_shared<UploadSender>(
      std::move(body), [this, link_id = found->first, channel, stream](std::string piece) {
        const auto link = links_.find(link_id);
        return link != links_.end() &&
               Push(*link->second, {channel, stream, PeerFrameKind::kUploadData, std::move(piece)});
      });
}

void PeerNetwork::Impl::OnUploadCredit(PeerLink& link, const PeerFrame& frame) {
  const auto found = link.sent_uploads.find(frame.stream);
  if (found == link.sent_uploads.end()) {
    return;  // cancelled meanwhile
  }
  const std::shared_ptr<UploadSender> sender = found->second;
  if (!sender->accepted()) {
    // Posted, since the body may be in use by its writer.
    sender->SetListener([this, alive = std::weak_ptr<bool>(alive_), link_id = link.id,
                         channel = frame.channel, stream = frame.stream] {
      loop_.Post([this, alive, link_id, channel, stream] {
        if (!alive.expired()) {
          PumpUpload(link_id, channel, stream);
        }
      });
    });
  }
  sender->OnCredit(frame.payload);
  EndUploadIfDone(link, frame.channel, frame.stream);
}

void PeerNetwork::Impl::PumpUpload(uint64_t link_id, PeerChannel channel, uint32_t stream) {
  const auto found = links_.find(link_id);
  if (found == links_.end() || !found->second->sent_uploads.contains(stream)) {
    return;
  }
  const std::shared_ptr<UploadSender> sender = found->second->sent_uploads.at(stream);
  sender->Pump();
  EndUploadIfDone(*found->second, channel, stream);
}

void PeerNetwork::Impl::EndUploadIfDone(PeerLink& link, PeerChannel channel, uint32_t stream) {
  const auto found = link.sent_uploads.find(stream);
  if (found == link.sent_uploads.end() || !found->second->done()) {
    return;
  }
  const std::shared_ptr<UploadSender> sender = found->second;
  link.sent_uploads.erase(found);
  if (sender->failed()) {
    link.send_queue.DropUpload(stream);
    Push(link, {channel, stream, PeerFrameKind::kCancel, {}});
  }
  CloseIfDetachedAndDone(link);
}

/// The request has ended without an answer.
void PeerNetwork::Impl::CancelSentUpload(PeerLink& link, uint32_t stream) {
  const auto node = link.sent_uploads.extract(stream);
  link.send_queue.DropUpload(stream);
}

std::shared_ptr<BodyStream> PeerNetwork::Impl::ReceiveBody(uint64_t link_id, PeerChannel channel,
                                                           uint32_t stream,
                                                           std::optional<uint64_t> length) {
  const auto found = links_.find(link_id);
  if (found == links_.end()) {
    return nullptr;
  }
  auto receiver = std::make_shared<UploadReceiver>(
      length, [this, link_id, channel, stream](std::string payload) {
        const auto link = links_.find(link_id);
        if (link != links_.end()) {
          Push(*link->second, {channel, stream, PeerFrameKind::kUploadCredit, std::move(payload)});
        }
      });
  found->second->received_uploads[stream] = receiver;
  return receiver->body();
}

void PeerNetwork::Impl::OnUploadData(PeerLink& link, const PeerFrame& frame) {
  const auto found = link.received_uploads.find(frame.stream);
  if (found == link.received_uploads.end()) {
    return;  // sent before the sender learned that no more is wanted
  }
  const std::shared_ptr<UploadReceiver> receiver = found->second;
  if (!receiver->OnData(frame.payload)) {
    ++dropped_frames_;
    receiver->body()->Cancel();
  }
  if (receiver->done()) {
    link.received_uploads.erase(frame.stream);
  }
}

void PeerNetwork::Impl::CancelReceivedUpload(PeerLink& link, uint32_t stream) {
  const auto node = link.received_uploads.extract(stream);
}

}  // namespace endivecleat

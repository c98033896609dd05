// The implementation class of PeerNetwork: its libwebsockets connections, links and outstanding
// requests. Included by peer_network.cc only.
#ifndef ENDIVECLEAT_PEER_NETWORK_IMPL_H_
#define ENDIVECLEAT_PEER_NETWORK_IMPL_H_

#include <libwebsockets.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "bulk_window.h"
#include "peer_link.h"
#include "peer_network.h"
#include "seeded_random.h"
#include "tcp_socket.h"

namespace endivecleat {

/// The network that each connection of a loop belongs to, by the connection id in the opaque user
/// data. All networks of a loop share one vhost, because libwebsockets selects the vhost of an
/// accepted connection by its Host field among the vhosts that have no listening socket of their
/// own. A connection briefly outlives its network, and then has no entry here.
struct PeerRegistry {
  std::unordered_map<uint64_t, PeerNetwork::Impl*> networks;
  uint64_t next_id = 1;
};

class PeerNetwork::Impl {
 public:
  Impl(EventLoop& loop, const Address& listen, std::string token, PeerHandlers handler,
       uint64_t seed);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  const Address& address() const { return listener_->address(); }
  const std::map<Address, PeerTraffic>& traffic() const { return traffic_; }
  uint64_t dropped_frames() const { return dropped_frames_; }
  uint64_t rejected_handshakes() const { return rejected_handshakes_; }
  size_t outstanding_requests() const { return requests_.size(); }

  size_t open_links() const {
    size_t count = 0;
    for (const auto& [id, link] : links_) {
      count += link->open ? 1 : 0;
    }
    return count;
  }

  bool Send(const Address& to, PeerFrame frame) {
    PeerLink* link = FindOrOpenLink(to);
    if (link == nullptr) {
      return false;
    }
    frame.kind = PeerFrameKind::kMessage;
    frame.stream = link->next_stream++;
    return Push(*link, std::move(frame));
  }

  PeerRequestId Request(const Address& to, PeerChannel channel, std::string payload,
                        Duration timeout, Callback callback) {
    const PeerRequestId id(next_request_++);
    RequestEntry entry;
    entry.channel = channel;
    entry.callback = std::move(callback);
    entry.sent_at = loop_.now();
    PeerLink* link = FindOrOpenLink(to);
    if (link != nullptr) {
      entry.link_id = link->id;
      entry.stream = link->next_stream++;
    }
    if (link != nullptr &&
        Push(*link, {channel, entry.stream, PeerFrameKind::kRequest, std::move(payload)})) {
      link->sent_requests.emplace(entry.stream, id);
      entry.timer = loop_.RunAfter(timeout, [this, id] { OnTimeout(id); });
    } else {
      entry.link_id = 0;
      FinishLater(id, PeerOutcome::kNotSent);
    }
    requests_.emplace(id, std::move(entry));
    return id;
  }

  void Cancel(PeerRequestId id) {
    if (requests_.contains(id)) {
      RemoveFromLink(requests_.at(id));
      TakeRequest(id);
    }
  }

  bool ReplaceLinkIfSilent(PeerRequestId id);

  void SendBody(PeerRequestId id, std::shared_ptr<BodyStream> body);

  bool SendDatagram(const Address& to, const std::string& datagram) {
    if (!SendUdp(datagram_socket_, to, datagram)) {
      return false;
    }
    TrafficOf(to).datagrams.sent += datagram.size();
    return true;
  }

  /// Handles one libwebsockets event. A nonzero result closes the connection.
  int OnEvent(uint64_t id, lws* wsi, lws_callback_reasons reason, void* in, size_t length);

 private:
  struct RequestEntry {
    uint64_t link_id = 0;  // 0: rejected, and its outcome is already posted to the loop
    uint32_t stream = 0;
    PeerChannel channel = PeerChannel::kConfigLog;
    Callback callback;
    TimerId timer;
    TimePoint sent_at;
  };

  /// The outbound link to one address, and its backoff.
  struct OutboundLink {
    uint64_t link_id = 0;  // 0: no link
    // Opened beside a link on which nothing arrives; 0: none. Whichever of the two shows first that
    // it works is used from then on. Until then new messages and requests wait for this one.
    uint64_t successor_id = 0;
    unsigned failures = 0;  // consecutive failures to open the link
    TimePoint retry_at;     // earliest time of the next attempt
  };

  void OpenSockets(const Address& listen);
  void OpenVhost();

  PeerLink* FindOrOpenLink(const Address& to);
  PeerLink* OpenLink(const Address& to, unsigned failures, uint64_t& link_id);
  void AdoptAccepted(int descriptor);
  void StartOpenTimer(uint64_t id, Duration timeout);
  void CloseUnlessOpen(uint64_t id);
  uint64_t RegisterConnection();
  bool Push(PeerLink& link, PeerFrame frame, std::shared_ptr<void> hold = nullptr);
  void OnOpen(PeerLink& link, lws* wsi);
  void OnClosed(uint64_t id);
  void CloseLink(uint64_t id);
  void OpenSuccessor(PeerLink& link);
  void ResolveSuccession(PeerLink& working);
  /// Closes the link once its requests have ended; it gets no more messages or requests.
  void DetachLink(uint64_t id);
  void CloseIfDetachedAndDone(PeerLink& link);
  void CancelReceivedRequests(PeerLink& link);
  int OnHandshake(uint64_t id, lws* wsi);
  int OnWritable(PeerLink& link);
  int OnReceived(PeerLink& link, std::string_view bytes);
  void OnFrame(PeerLink& link, PeerFrame frame);
  void OnRequest(PeerLink& link, PeerFrame frame);
  void OnResponse(PeerLink& link, PeerFrame frame);
  void OnCancelFrame(PeerLink& link, uint32_t stream);
  bool Reply(uint64_t link_id, PeerFrame frame, std::shared_ptr<void> hold);
  void OnAcknowledgement(PeerLink& link);
  // Uploads, in peer_network_upload.cc.
  std::shared_ptr<BodyStream> ReceiveBody(uint64_t link_id, PeerChannel channel, uint32_t stream,
                                          std::optional<uint64_t> length);
  void OnUploadCredit(PeerLink& link, const PeerFrame& frame);
  void OnUploadData(PeerLink& link, const PeerFrame& frame);
  void PumpUpload(uint64_t link_id, PeerChannel channel, uint32_t stream);
  void EndUploadIfDone(PeerLink& link, PeerChannel channel, uint32_t stream);
  void CancelSentUpload(PeerLink& link, uint32_t stream);
  void CancelReceivedUpload(PeerLink& link, uint32_t stream);
  static bool HasDirection(const PeerLink& link, PeerFrameKind kind);
  void WakeBulkLinks();
  void WaitForBulkWindow(uint64_t link_id);

  bool RemoveFromLink(const RequestEntry& entry);
  void OnTimeout(PeerRequestId id);
  std::optional<RequestEntry> TakeRequest(PeerRequestId id);
  void Finish(PeerRequestId id, PeerOutcome outcome);
  void FinishLater(PeerRequestId id, PeerOutcome::Kind kind);

  void OnDatagrams();
  PeerTraffic& TrafficOf(const Address& peer);

  EventLoop& loop_;
  std::string token_;
  PeerHandlers handler_;
  SeededRandom random_;
  std::unique_ptr<TcpListener> listener_;
  int datagram_socket_ = -1;
  WatchId datagram_watch_;
  lws_vhost* vhost_ = nullptr;
  PeerRegistry* registry_ = nullptr;  // freed with the vhost

  uint64_t next_request_ = 1;
  std::unordered_map<uint64_t, lws*> connections_;  // all connections, also during the handshake
  std::unordered_map<uint64_t, std::unique_ptr<PeerLink>> links_;
  std::unordered_map<Address, OutboundLink> outbound_links_;
  std::unordered_map<PeerRequestId, RequestEntry> requests_;
  std::map<Address, PeerTraffic> traffic_;
  uint64_t dropped_frames_ = 0;
  uint64_t rejected_handshakes_ = 0;
  std::string write_buffer_;
  BulkWindow bulk_window_;
  std::deque<uint64_t> waiting_bulk_links_;    // have a large response, which the window holds back
  std::optional<TimerId> stalled_bulk_timer_;  // set while waiting_bulk_links_ is not empty
  // Posted tasks and repliers hold a weak pointer to this, which expires with the network.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace endivecleat

#endif  // ENDIVECLEAT_PEER_NETWORK_IMPL_H_

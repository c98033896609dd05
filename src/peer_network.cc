// Drives the links with libwebsockets events. Each connection is known by an id, which its opaque
// user data carries, so that a late event never refers to a destroyed link.
#include "peer_network.h"

#include <libwebsockets.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <system_error>
#include <utility>

#include "errors.h"
#include "http_message.h"
#include "peer_network_impl.h"

namespace endivecleat {
namespace {

constexpr char kSubprotocol[] = "endivecleat";
constexpr char kVhost[] = "endivecleat-peers";
// Allocated by libwebsockets for each link; a process has up to two links to each peer. With 65536,
// a 16 KiB round trip takes 0.7 times as long, but the links of 16 peers take 2 MB.
constexpr size_t kReceiveBufferBytes = 8192;
// libwebsockets copies a write that exceeds this size before it sends it, so the limit is above the
// size of one write.
constexpr size_t kTxPacketBytes = 4 * kMaxFragmentBytes;
constexpr size_t kMaxDatagramBytes = 2048;
constexpr int kMaxDatagramsPerEvent = 64;
constexpr int kMaxPortAttempts = 20;
// libwebsockets 4.1.6 has no timeout for an accepted connection that sends nothing.
constexpr Duration kHandshakeTimeout = std::chrono::seconds(5);
// Eight round trips between regions. If a host has lost power, the kernel retransmits the SYN only
// after one second, so a new attempt connects sooner than the retransmission.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
// Each failed attempt doubles the time of the next one, up to four times kConnectTimeout: the
// packets of a handshake may wait for longer than that on a link that is full.
constexpr unsigned kMaxConnectDoublings = 2;
// Interval at which large responses that wait for the window or for a socket are tried again.
constexpr Duration kBulkRetryInterval = std::chrono::milliseconds(20);
// Datagrams are not authenticated at this layer, so forged source addresses must not exhaust the
// memory. Traffic of further addresses is counted under the empty address.
constexpr size_t kMaxTrafficEntries = 16384;

int PeerCallback(lws* wsi, lws_callback_reasons reason, void* user, void* in, size_t length);

const std::array<lws_protocols, 2> kProtocols = {
    {{kSubprotocol, PeerCallback, 0, kReceiveBufferBytes, 0, nullptr, kTxPacketBytes}, {}}};

}  // namespace

namespace {

uint64_t ConnectionId(lws* wsi) {
  return reinterpret_cast<uintptr_t>(lws_get_opaque_user_data(wsi));
}

// NOLINTNEXTLINE(performance-no-int-to-ptr): stored as a pointer, never dereferenced
void* ToOpaqueUserData(uint64_t id) { return reinterpret_cast<void*>(static_cast<uintptr_t>(id)); }

// Whether an event needs no decision. If the network no longer exists, an event that needs one
// closes the connection, and a notification is ignored.
bool IsNotification(lws_callback_reasons reason) {
  switch (reason) {
    case LWS_CALLBACK_HTTP:
    case LWS_CALLBACK_HTTP_CONFIRM_UPGRADE:
    case LWS_CALLBACK_FILTER_PROTOCOL_CONNECTION:
    case LWS_CALLBACK_ESTABLISHED:
    case LWS_CALLBACK_CLIENT_ESTABLISHED:
    case LWS_CALLBACK_RECEIVE:
    case LWS_CALLBACK_CLIENT_RECEIVE:
    case LWS_CALLBACK_SERVER_WRITEABLE:
    case LWS_CALLBACK_CLIENT_WRITEABLE:
      return false;
    default:
      return true;
  }
}

int PeerCallback(lws* wsi, lws_callback_reasons reason, void* /*user*/, void* in, size_t length) {
  lws_vhost* vhost = lws_get_vhost(wsi);
  auto* registry =
      vhost == nullptr ? nullptr : static_cast<PeerRegistry*>(lws_get_vhost_user(vhost));
  if (registry == nullptr) {
    return 0;
  }
  const uint64_t id = ConnectionId(wsi);
  const auto found = registry->networks.find(id);
  if (found == registry->networks.end()) {
    return IsNotification(reason) ? 0 : -1;
  }
  return found->second->OnEvent(id, wsi, reason, in, length);
}

void FreeRegistry(lws_vhost* /*vhost*/, void* registry) {
  delete static_cast<PeerRegistry*>(registry);
}

}  // namespace

PeerNetwork::Impl::Impl(EventLoop& loop, const Address& listen, std::string token,
                        PeerHandlers handler, uint64_t seed)
    : loop_(loop), token_(std::move(token)), handler_(std::move(handler)), random_(seed) {
  OpenVhost();
  OpenSockets(listen);
}

PeerNetwork::Impl::~Impl() {
  for (const auto& [id, request] : requests_) {
    loop_.Cancel(request.timer);
  }
  if (stalled_bulk_timer_) {
    loop_.Cancel(*stalled_bulk_timer_);
  }
  loop_.Unwatch(datagram_watch_);
  close(datagram_socket_);
  for (const auto& [id, wsi] : connections_) {
    registry_->networks.erase(id);
    lws_set_timeout(wsi, PENDING_TIMEOUT_KILLED_BY_PARENT, LWS_TO_KILL_ASYNC);
  }
  const auto links = std::move(links_);
  for (const auto& [id, link] : links) {
    CancelReceivedRequests(*link);
  }
}

void PeerNetwork::Impl::OpenSockets(const Address& listen) {
  for (int attempt = 1; datagram_socket_ < 0; ++attempt) {
    listener_ = std::make_unique<TcpListener>(
        loop_, listen, [this](int descriptor, const Address&) { AdoptAccepted(descriptor); });
    try {
      datagram_socket_ = BindUdp(listener_->address());
    } catch (const std::system_error&) {
      // With port 0 the kernel may choose a port that is free for TCP only; then try another one.
      if (listen.port != 0 || attempt == kMaxPortAttempts) {
        throw;
      }
    }
  }
  datagram_watch_ = loop_.Watch(datagram_socket_, EPOLLIN, [this](uint32_t) { OnDatagrams(); });
}

void PeerNetwork::Impl::OpenVhost() {
  vhost_ = lws_get_vhost_by_name(loop_.context(), kVhost);
  if (vhost_ == nullptr) {
    auto registry = std::make_unique<PeerRegistry>();
    lws_context_creation_info info = {};
    info.port = CONTEXT_PORT_NO_LISTEN_SERVER;
    info.protocols = kProtocols.data();
    info.vhost_name = kVhost;
    info.user = registry.get();
    info.finalize = FreeRegistry;
    info.finalize_arg = registry.get();
    vhost_ = lws_create_vhost(loop_.context(), &info);
    ENDIVECLEAT_CHECK(vhost_ != nullptr, "libwebsockets could not create the vhost for peers");
    static_cast<void>(registry.release());  // FreeRegistry deletes it
  }
  registry_ = static_cast<PeerRegistry*>(lws_get_vhost_user(vhost_));
}

uint64_t PeerNetwork::Impl::RegisterConnection() {
  const uint64_t id = registry_->next_id++;
  registry_->networks.emplace(id, this);
  return id;
}

void PeerNetwork::Impl::AdoptAccepted(int descriptor) {
  const uint64_t id = RegisterConnection();
  lws_adopt_desc_t info = {};
  info.vh = vhost_;
  info.type = static_cast<lws_adoption_type>(LWS_ADOPT_SOCKET | LWS_ADOPT_HTTP);
  info.fd.sockfd = descriptor;
  info.opaque = ToOpaqueUserData(id);
  if (lws* wsi = lws_adopt_descriptor_vhost_via_info(&info); wsi != nullptr) {
    connections_.emplace(id, wsi);
    StartOpenTimer(id, kHandshakeTimeout);
  } else {
    OnClosed(id);  // libwebsockets has already closed the descriptor
  }
}

void PeerNetwork::Impl::StartOpenTimer(uint64_t id, Duration timeout) {
  loop_.RunAfter(timeout, [this, id, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      CloseUnlessOpen(id);
    }
  });
}

void PeerNetwork::Impl::CloseUnlessOpen(uint64_t id) {
  const auto connection = connections_.find(id);
  const auto link = links_.find(id);
  if (connection != connections_.end() && (link == links_.end() || !link->second->open)) {
    lws_set_timeout(connection->second, PENDING_TIMEOUT_ESTABLISH_WITH_SERVER, LWS_TO_KILL_ASYNC);
  }
}

int PeerNetwork::Impl::OnEvent(uint64_t id, lws* wsi, lws_callback_reasons reason, void* in,
                               size_t length) {
  const auto found = links_.find(id);
  PeerLink* link = found == links_.end() ? nullptr : found->second.get();
  switch (reason) {
    case LWS_CALLBACK_HTTP:
      return -1;  // a plain HTTP request, no WebSocket upgrade
    case LWS_CALLBACK_HTTP_CONFIRM_UPGRADE:
      return EqualIgnoringCase(static_cast<const char*>(in), "websocket") ? 0 : -1;
    case LWS_CALLBACK_FILTER_PROTOCOL_CONNECTION:
      return OnHandshake(id, wsi);
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
      auto** position = static_cast<unsigned char**>(in);
      return link != nullptr && WriteHandshake(wsi, {token_, link->epoch, address()}, position,
                                               *position + length)
                 ? 0
                 : -1;
    }
    case LWS_CALLBACK_ESTABLISHED:
    case LWS_CALLBACK_CLIENT_ESTABLISHED:
      if (link == nullptr) {
        return -1;
      }
      OnOpen(*link, wsi);
      return 0;
    case LWS_CALLBACK_RECEIVE:
    case LWS_CALLBACK_CLIENT_RECEIVE:
      return link == nullptr ? -1 : OnReceived(*link, {static_cast<const char*>(in), length});
    case LWS_CALLBACK_SERVER_WRITEABLE:
    case LWS_CALLBACK_CLIENT_WRITEABLE:
      return link == nullptr ? -1 : OnWritable(*link);
    case LWS_CALLBACK_CLOSED:
    case LWS_CALLBACK_CLIENT_CLOSED:
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_WSI_DESTROY:
      loop_.RunCapturingException([&] { OnClosed(id); });
      return 0;
    default:
      return 0;
  }
}

int PeerNetwork::Impl::OnHandshake(uint64_t id, lws* wsi) {
  const std::optional<PeerHandshake> handshake = ReadHandshake(wsi);
  if (!handshake || !TokensEqual(handshake->token, token_)) {
    ++rejected_handshakes_;
    return -1;
  }
  links_.emplace(id, std::make_unique<PeerLink>(id, false, handshake->listen, handshake->epoch,
                                                handshake->acknowledges));
  return 0;
}

PeerLink* PeerNetwork::Impl::FindOrOpenLink(const Address& to) {
  OutboundLink& outbound = outbound_links_[to];
  if (outbound.successor_id != 0) {
    return links_.at(outbound.successor_id).get();
  }
  if (outbound.link_id != 0) {
    return links_.at(outbound.link_id).get();
  }
  return loop_.now() < outbound.retry_at ? nullptr
                                         : OpenLink(to, outbound.failures, outbound.link_id);
}

PeerLink* PeerNetwork::Impl::OpenLink(const Address& to, unsigned failures, uint64_t& link_id) {
  const uint64_t id = RegisterConnection();
  const auto epoch = static_cast<uint32_t>(random_.Next());
  PeerLink& link =
      *links_.emplace(id, std::make_unique<PeerLink>(id, true, to, epoch)).first->second;
  link.last_sent_at = link.last_received_at = loop_.now();
  link_id = id;
  const std::string host = to.text();
  lws_client_connect_info info = {};
  info.context = loop_.context();
  info.vhost = vhost_;
  info.address = to.ip.c_str();
  info.port = to.port;
  info.path = "/";
  info.host = host.c_str();
  info.protocol = kSubprotocol;
  info.local_protocol_name = kSubprotocol;
  info.ietf_version_or_minus_one = -1;
  info.opaque_user_data = ToOpaqueUserData(id);
  if (lws* wsi = lws_client_connect_via_info(&info); wsi != nullptr) {
    connections_.emplace(id, wsi);
    StartOpenTimer(id, kConnectTimeout * (1U << std::min(failures, kMaxConnectDoublings)));
  } else {
    OnClosed(id);
  }
  const auto found = links_.find(id);
  return found == links_.end() ? nullptr : found->second.get();
}

void PeerNetwork::Impl::OnOpen(PeerLink& link, lws* wsi) {
  SetStreamOptions(lws_get_socket_fd(wsi));
  link.wsi = wsi;
  link.open = true;
  link.last_sent_at = link.last_received_at = loop_.now();
  if (link.outbound) {
    outbound_links_[link.peer].failures = 0;
    ResolveSuccession(link);
  }
  if (!link.send_queue.empty()) {
    lws_callback_on_writable(wsi);
  }
}

void PeerNetwork::Impl::OnClosed(uint64_t id) {
  registry_->networks.erase(id);
  connections_.erase(id);
  CloseLink(id);
}

void PeerNetwork::Impl::CloseLink(uint64_t id) {
  auto node = links_.extract(id);
  if (node.empty()) {
    return;
  }
  PeerLink& link = *node.mapped();
  if (link.open || link.outbound) {
    LogLostLink(link, loop_.now());
  }
  bulk_window_.Remove(LinkNumber(id));
  std::erase(waiting_bulk_links_, id);
  WakeBulkLinks();
  if (link.outbound && !link.detached) {
    OutboundLink& outbound = outbound_links_[link.peer];
    if (outbound.successor_id == id) {
      links_.at(outbound.link_id)->has_successor = false;
      outbound.successor_id = 0;
    } else {
      outbound.link_id = std::exchange(outbound.successor_id, 0);
    }
    if (!link.open) {
      ++outbound.failures;
      outbound.retry_at = loop_.now() + BackoffDelay(outbound.failures, random_);
    }
  }
  for (const auto& [stream, request] : link.sent_requests) {
    const bool unsent = link.send_queue.Remove(PeerFrameKind::kRequest, stream);
    FinishLater(request, unsent ? PeerOutcome::kNotSent : PeerOutcome::kBroken);
  }
  CancelReceivedRequests(link);
}

void PeerNetwork::Impl::OpenSuccessor(PeerLink& link) {
  OutboundLink& outbound = outbound_links_[link.peer];
  if (outbound.link_id != link.id || link.has_successor) {
    return;
  }
  LogSilentLink(link, loop_.now());
  link.has_successor = true;
  OpenLink(link.peer, outbound.failures, outbound.successor_id);
}

void PeerNetwork::Impl::ResolveSuccession(PeerLink& working) {
  OutboundLink& outbound = outbound_links_[working.peer];
  if (outbound.successor_id == 0) {
    return;
  }
  links_.at(outbound.link_id)->has_successor = false;
  const uint64_t successor = std::exchange(outbound.successor_id, 0);
  if (working.id == successor) {
    DetachLink(std::exchange(outbound.link_id, successor));
  } else {
    DetachLink(successor);
  }
}

void PeerNetwork::Impl::DetachLink(uint64_t id) {
  PeerLink& link = *links_.at(id);
  link.detached = true;
  if (!link.open) {
    CloseUnlessOpen(id);  // its requests end as not sent
  } else {
    CloseIfDetachedAndDone(link);
  }
}

void PeerNetwork::Impl::CloseIfDetachedAndDone(PeerLink& link) {
  const auto connection = connections_.find(link.id);
  if (link.detached && link.sent_requests.empty() && link.sent_uploads.empty() &&
      !link.send_queue.has_bulk() && connection != connections_.end()) {
    lws_set_timeout(connection->second, PENDING_TIMEOUT_CLOSE_SEND, LWS_TO_KILL_ASYNC);
  }
}

void PeerNetwork::Impl::CancelReceivedRequests(PeerLink& link) {
  const auto uploads = std::move(link.received_uploads);
  const auto requests = std::move(link.received_requests);
  for (const auto& [stream, state] : requests) {
    CancelRequest(*state);
  }
}

bool PeerNetwork::Impl::Push(PeerLink& link, PeerFrame frame, std::shared_ptr<void> hold) {
  if (!link.send_queue.Push(std::move(frame), std::move(hold))) {
    return false;
  }
  if (link.open) {
    lws_callback_on_writable(link.wsi);
  }
  return true;
}

int PeerNetwork::Impl::OnWritable(PeerLink& link) {
  if (link.send_queue.empty()) {
    return 0;
  }
  write_buffer_.assign(LWS_PRE, '\0');
  std::array<uint64_t, kPeerChannelCount> counts = {};
  link.send_queue.TakeFragments(link.epoch, kMaxFragmentBytes, write_buffer_, counts);
  const TimePoint now = loop_.now();
  const LinkNumber number(link.id);
  if (link.send_queue.has_bulk() && bulk_window_.MaySend(now, number)) {
    bulk_window_.Sent(now, number,
                      link.send_queue.TakeBulkFragment(link.epoch, write_buffer_, counts));
  }
  PeerTraffic& traffic = TrafficOf(link.peer);
  for (size_t i = 0; i < counts.size(); ++i) {
    traffic.channels[i].sent += counts[i];
  }
  const size_t bytes = write_buffer_.size() - LWS_PRE;
  if (bytes == 0) {
    WaitForBulkWindow(link.id);
    return 0;
  }
  link.last_sent_at = now;
  auto* start = reinterpret_cast<unsigned char*>(write_buffer_.data()) + LWS_PRE;
  if (lws_write(link.wsi, start, bytes, LWS_WRITE_BINARY) < 0) {
    return -1;
  }
  if (link.send_queue.has_urgent()) {
    lws_callback_on_writable(link.wsi);
  }
  if (link.send_queue.has_bulk()) {
    WaitForBulkWindow(link.id);  // behind the other links, which get their turn first
    WakeBulkLinks();
  } else {
    CloseIfDetachedAndDone(link);
  }
  return 0;
}

void PeerNetwork::Impl::WaitForBulkWindow(uint64_t link_id) {
  const auto found = std::find(waiting_bulk_links_.begin(), waiting_bulk_links_.end(), link_id);
  if (found == waiting_bulk_links_.end()) {
    waiting_bulk_links_.push_back(link_id);
  }
  // No acknowledgement may come: a socket becomes writable, or a stalled link leaves the window.
  if (!stalled_bulk_timer_) {
    stalled_bulk_timer_ = loop_.RunAfter(kBulkRetryInterval, [this] {
      stalled_bulk_timer_.reset();
      WakeBulkLinks();
      if (!waiting_bulk_links_.empty()) {
        WaitForBulkWindow(waiting_bulk_links_.front());  // starts the timer again
      }
    });
  }
}

// Lets links send a fragment of a large response each, in the order in which they began to wait, as
// far as the window allows. Links whose socket accepts nothing are passed over.
void PeerNetwork::Impl::WakeBulkLinks() {
  const TimePoint now = loop_.now();
  const size_t under_way = bulk_window_.bytes_under_way(now);
  size_t room = bulk_window_.window_bytes() - std::min(bulk_window_.window_bytes(), under_way);
  for (auto waiting = waiting_bulk_links_.begin();
       waiting != waiting_bulk_links_.end() && room > 0;) {
    const auto found = links_.find(*waiting);
    if (found == links_.end()) {
      waiting = waiting_bulk_links_.erase(waiting);
      continue;
    }
    PeerLink& link = *found->second;
    if (!link.open || !bulk_window_.MaySend(now, LinkNumber(link.id)) ||
        lws_send_pipe_choked(link.wsi) != 0) {
      ++waiting;
      continue;
    }
    lws_callback_on_writable(link.wsi);
    waiting = waiting_bulk_links_.erase(waiting);
    room -= std::min(room, kBulkFragmentBytes);
  }
}

void PeerNetwork::Impl::OnAcknowledgement(PeerLink& link) {
  bulk_window_.Acknowledged(loop_.now(), LinkNumber(link.id));
  WakeBulkLinks();
}

int PeerNetwork::Impl::OnReceived(PeerLink& link, std::string_view bytes) {
  std::array<uint64_t, kPeerChannelCount> counts = {};
  const uint64_t mismatches_before = link.reassembler.epoch_mismatches();
  link.last_received_at = loop_.now();
  if (link.has_successor) {
    ResolveSuccession(link);
  }
  bool valid = false;
  loop_.RunCapturingException([&] {
    valid = link.reassembler.Feed(
        bytes, counts, [&](PeerFrame frame) { OnFrame(link, std::move(frame)); },
        [&](PeerChannel channel, uint32_t stream) {
          Push(link, {channel, stream, PeerFrameKind::kAcknowledgement, {}});
        });
  });
  dropped_frames_ += link.reassembler.epoch_mismatches() - mismatches_before;
  PeerTraffic& traffic = TrafficOf(link.peer);
  for (size_t i = 0; i < counts.size(); ++i) {
    traffic.channels[i].received += counts[i];
  }
  return valid ? 0 : -1;
}

void PeerNetwork::Impl::OnFrame(PeerLink& link, PeerFrame frame) {
  if (!HasDirection(link, frame.kind)) {
    ++dropped_frames_;
    return;
  }
  switch (frame.kind) {
    case PeerFrameKind::kMessage:
      if (handler_.on_message) {
        handler_.on_message(link.peer, frame.channel, std::move(frame.payload));
      }
      break;
    case PeerFrameKind::kRequest:
      OnRequest(link, std::move(frame));
      break;
    case PeerFrameKind::kResponse:
    case PeerFrameKind::kBulkResponse:
      OnResponse(link, std::move(frame));
      break;
    case PeerFrameKind::kUploadData:
      OnUploadData(link, frame);
      break;
    case PeerFrameKind::kUploadCredit:
      OnUploadCredit(link, frame);
      break;
    case PeerFrameKind::kAcknowledgement:
      OnAcknowledgement(link);
      break;
    case PeerFrameKind::kCancel:
      OnCancelFrame(link, frame.stream);
      break;
  }
}

void PeerNetwork::Impl::OnRequest(PeerLink& link, PeerFrame frame) {
  if (!handler_.on_request || link.received_requests.contains(frame.stream)) {
    return;
  }
  auto state = std::make_shared<PeerResponder::State>();
  state->send = [this, alive = std::weak_ptr<bool>(alive_), id = link.id, channel = frame.channel,
                 stream = frame.stream](std::string payload, std::shared_ptr<void> hold) {
    return !alive.expired() &&
           Reply(id, {channel, stream, PeerFrameKind::kResponse, std::move(payload)},
                 std::move(hold));
  };
  state->receive_body = [this, alive = std::weak_ptr<bool>(alive_), id = link.id,
                         channel = frame.channel,
                         stream = frame.stream](std::optional<uint64_t> length) {
    return alive.expired() ? nullptr : ReceiveBody(id, channel, stream, length);
  };
  link.received_requests.emplace(frame.stream, state);
  handler_.on_request(link.peer, frame.channel, std::move(frame.payload), PeerResponder(state));
}

bool PeerNetwork::Impl::Reply(uint64_t link_id, PeerFrame frame, std::shared_ptr<void> hold) {
  const auto found = links_.find(link_id);
  if (found == links_.end()) {
    return false;
  }
  PeerLink& link = *found->second;
  link.received_requests.erase(frame.stream);
  const auto upload = link.received_uploads.find(frame.stream);
  if (upload != link.received_uploads.end() && !upload->second->body()->opened()) {
    CancelReceivedUpload(link, frame.stream);  // the response refuses the request
  }
  if (link.peer_acknowledges && frame.channel == PeerChannel::kCall &&
      frame.payload.size() >= kMinBulkResponseBytes) {
    frame.kind = PeerFrameKind::kBulkResponse;
  }
  return Push(link, std::move(frame), std::move(hold));
}

void PeerNetwork::Impl::OnCancelFrame(PeerLink& link, uint32_t stream) {
  link.send_queue.CancelBulk(stream);
  CancelReceivedUpload(link, stream);
  const auto node = link.received_requests.extract(stream);
  if (!node.empty()) {
    CancelRequest(*node.mapped());
  }
}

void PeerNetwork::Impl::OnResponse(PeerLink& link, PeerFrame frame) {
  const auto found = link.sent_requests.find(frame.stream);
  if (found == link.sent_requests.end() || requests_.at(found->second).channel != frame.channel) {
    ++dropped_frames_;
    return;
  }
  const PeerRequestId id = found->second;
  link.sent_requests.erase(found);
  const auto upload = link.sent_uploads.find(frame.stream);
  if (upload != link.sent_uploads.end() && !upload->second->accepted()) {
    link.sent_uploads.erase(upload);
  }
  CloseIfDetachedAndDone(link);
  Finish(id, {PeerOutcome::kAnswered, std::move(frame.payload)});
}

/// Removes the request from its link. Returns true if no byte of it was written or the link is
/// closed; otherwise sends a cancel frame to the peer.
bool PeerNetwork::Impl::RemoveFromLink(const RequestEntry& entry) {
  const auto found = links_.find(entry.link_id);
  if (found == links_.end()) {
    return true;
  }
  PeerLink& link = *found->second;
  link.sent_requests.erase(entry.stream);
  CancelSentUpload(link, entry.stream);
  if (link.send_queue.Remove(PeerFrameKind::kRequest, entry.stream)) {
    return true;
  }
  Push(link, {entry.channel, entry.stream, PeerFrameKind::kCancel, {}});
  CloseIfDetachedAndDone(link);
  return false;
}

bool PeerNetwork::Impl::ReplaceLinkIfSilent(PeerRequestId id) {
  const auto request = requests_.find(id);
  if (request == requests_.end()) {
    return false;
  }
  const auto found = links_.find(request->second.link_id);
  if (found != links_.end() && found->second->open &&
      found->second->last_received_at < request->second.sent_at) {
    OpenSuccessor(*found->second);
  }
  return true;
}

void PeerNetwork::Impl::OnTimeout(PeerRequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  // If the link is gone, the request's outcome is already posted to the loop.
  if (links_.contains(found->second.link_id)) {
    if (found->second.channel != PeerChannel::kCall) {
      // How long a call takes depends on its target and tells nothing about the link.
      ReplaceLinkIfSilent(id);
    }
    const bool unsent = RemoveFromLink(found->second);
    Finish(id, {unsent ? PeerOutcome::kNotSent : PeerOutcome::kTimedOut, {}});
  }
}

std::optional<PeerNetwork::Impl::RequestEntry> PeerNetwork::Impl::TakeRequest(PeerRequestId id) {
  auto node = requests_.extract(id);
  if (node.empty()) {
    return std::nullopt;
  }
  loop_.Cancel(node.mapped().timer);
  return std::move(node.mapped());
}

void PeerNetwork::Impl::Finish(PeerRequestId id, PeerOutcome outcome) {
  if (const std::optional<RequestEntry> entry = TakeRequest(id)) {
    entry->callback(std::move(outcome));
  }
}

void PeerNetwork::Impl::FinishLater(PeerRequestId id, PeerOutcome::Kind kind) {
  loop_.Post([this, id, kind, alive = std::weak_ptr<bool>(alive_)] {
    if (!alive.expired()) {
      Finish(id, {kind, {}});
    }
  });
}

void PeerNetwork::Impl::OnDatagrams() {
  for (int i = 0; i < kMaxDatagramsPerEvent; ++i) {
    Address from;
    std::optional<std::string> datagram = ReceiveUdp(datagram_socket_, kMaxDatagramBytes, from);
    if (!datagram) {
      return;
    }
    TrafficOf(from).datagrams.received += datagram->size();
    if (handler_.on_datagram) {
      handler_.on_datagram(from, std::move(*datagram));
    }
  }
}

PeerTraffic& PeerNetwork::Impl::TrafficOf(const Address& peer) {
  const bool counted = traffic_.contains(peer) || traffic_.size() < kMaxTrafficEntries;
  return traffic_[counted ? peer : Address{}];
}

bool PeerResponder::Respond(std::string payload, std::shared_ptr<void> hold) const {
  state_->on_cancel = nullptr;
  const auto send = std::exchange(state_->send, nullptr);
  return send && send(std::move(payload), std::move(hold));
}

void PeerResponder::OnCancel(std::function<void()> task) const {
  if (state_->cancelled) {
    task();
  } else if (state_->send) {
    state_->on_cancel = std::move(task);
  }
}

std::shared_ptr<BodyStream> PeerResponder::ReceiveBody(std::optional<uint64_t> length) const {
  return state_->receive_body ? state_->receive_body(length) : nullptr;
}

bool PeerResponder::cancelled() const { return state_->cancelled; }

PeerNetwork::PeerNetwork(EventLoop& loop, const Address& listen, std::string token,
                         PeerHandlers handler, uint64_t seed)
    : impl_(std::make_unique<Impl>(loop, listen, std::move(token), std::move(handler), seed)) {}

PeerNetwork::~PeerNetwork() = default;

const Address& PeerNetwork::address() const { return impl_->address(); }

bool PeerNetwork::Send(const Address& to, PeerFrame frame) {
  return impl_->Send(to, std::move(frame));
}

PeerRequestId PeerNetwork::Request(const Address& to, PeerChannel channel, std::string payload,
                                   Duration timeout, Callback callback) {
  return impl_->Request(to, channel, std::move(payload), timeout, std::move(callback));
}

void PeerNetwork::SendBody(PeerRequestId request, std::shared_ptr<BodyStream> body) {
  impl_->SendBody(request, std::move(body));
}

void PeerNetwork::Cancel(PeerRequestId request) { impl_->Cancel(request); }

bool PeerNetwork::ReplaceLinkIfSilent(PeerRequestId request) {
  return impl_->ReplaceLinkIfSilent(request);
}

bool PeerNetwork::SendDatagram(const Address& to, const std::string& datagram) {
  return impl_->SendDatagram(to, datagram);
}

const std::map<Address, PeerTraffic>& PeerNetwork::traffic() const { return impl_->traffic(); }
uint64_t PeerNetwork::dropped_frames() const { return impl_->dropped_frames(); }
uint64_t PeerNetwork::rejected_handshakes() const { return impl_->rejected_handshakes(); }
size_t PeerNetwork::outstanding_requests() const { return impl_->outstanding_requests(); }
size_t PeerNetwork::open_links() const { return impl_->open_links(); }

}  // namespace endivecleat

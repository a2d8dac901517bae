// Client of the store's JSON gateway: one request at a time on one connection, with an absolute deadline.
// Watches have a connection of their own (watcher.h).
//
// HTTP/1.1 with Boost.Beast's parser over this program's own blocking sockets, for their absolute deadlines.
// One thread calls; stop() may come from any thread. Memory: one reply of at most kMaxReplyBytes.
// Descriptors: one. Never throws on what the store sends: malformed HTTP closes the connection and counts as
// no reply.
#pragma once

#include <memory>
#include <mutex>
#include <string>

#include "net/socket.h"
#include "store/endpoint_rotation.h"
#include "store/values.h"

namespace yokestream::store {

inline constexpr std::size_t kMaxReplyBytes = 4 * 1024 * 1024;

// The bytes of a call as they are sent.
struct GatewayCall;
std::string serialize_http_request(const GatewayCall& call, const config::Endpoint& to);

// Owns a socket that any thread may shut down for good. Only the calling thread replaces or drops it.
class CancellableSocket {
 public:
  net::Socket* renew();  // a new socket in place of the old one; nullptr: stopped
  net::Socket* get() { return socket_.get(); }
  int descriptor() const { return socket_ ? socket_->descriptor() : -1; }
  void drop();  // the calling thread
  void stop();  // any thread: ends what waits on the socket, and renew() from now on

 private:
  std::mutex mutex_;  // guards stopped_, and socket_ against being replaced during stop()
  bool stopped_ = false;
  std::unique_ptr<net::Socket> socket_;
};

class Client {
 public:
  Client(std::vector<config::Endpoint> endpoints, std::uint64_t seed, net::Time::duration max_backoff);

  // Returns by `deadline`. Before next_attempt_at() it is Failed at once.
  Reply call(const Request& request, net::Time deadline);
  net::Time next_attempt_at() const { return endpoints_.next_attempt_at(); }
  const config::Endpoint& endpoint() const { return endpoints_.current(); }
  void record_watch_failure(net::Time now) { endpoints_.record_failure(now); }  // of a watch at endpoint()
  void stop() { connection_.stop(); }  // fails the call in progress and all later ones

 private:
  net::Socket* connected(net::Time deadline, net::ConnectFailure* failure);

  EndpointRotation endpoints_;
  CancellableSocket connection_;
};

}  // namespace yokestream::store

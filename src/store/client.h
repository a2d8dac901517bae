// Client of the store's JSON gateway: one request at a time on one connection, with an absolute deadline.
// Watches use connections of their own (watcher.h).
//
// Uses HTTP/1.1 with Boost.Beast's parser over net::Socket, which supports absolute deadlines. To be called
// from one thread, except stop(), which any thread may call. Memory: one reply of at most kMaxReplyBytes.
// Descriptors: one. Never throws because of input from the store: malformed HTTP closes the connection and is
// treated as a missing reply.
#pragma once

#include <memory>
#include <mutex>
#include <string>

#include "net/socket.h"
#include "store/endpoint_rotation.h"
#include "store/values.h"

namespace yokestream::store {

inline constexpr std::size_t kMaxReplyBytes = 4 * 1024 * 1024;

// Serializes a call as an HTTP request.
struct GatewayCall;
std::string serialize_http_request(const GatewayCall& call, const config::Endpoint& to);

// Owns a socket that any thread may shut down permanently. Only the owner's thread replaces or closes it.
class CancellableSocket {
 public:
  net::Socket* replace();  // closes the socket and returns a new one; nullptr: stopped
  net::Socket* get() { return socket_.get(); }
  int descriptor() const { return socket_ ? socket_->descriptor() : -1; }
  void close();
  void stop();  // any thread: ends pending I/O on the socket, and makes replace() fail from now on

 private:
  std::mutex mutex_;  // guards stopped_, and keeps socket_ from being replaced during stop()
  bool stopped_ = false;
  std::unique_ptr<net::Socket> socket_;
};

class Client {
 public:
  Client(std::vector<config::Endpoint> endpoints, std::uint64_t seed, net::Time::duration max_backoff);

  // Returns by `deadline`. Returns Failed at once before next_attempt_at().
  Reply call(const Request& request, net::Time deadline);
  net::Time next_attempt_at() const { return endpoints_.next_attempt_at(); }
  const config::Endpoint& endpoint() const { return endpoints_.current(); }
  void record_watch_failure(net::Time now) { endpoints_.record_failure(now); }  // for a watch at endpoint()
  void stop() { connection_.stop(); }  // fails the call in progress and all later ones

 private:
  net::Socket* connected(net::Time deadline, net::ConnectFailure* failure);

  EndpointRotation endpoints_;
  CancellableSocket connection_;
};

}  // namespace yokestream::store

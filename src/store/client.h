// The store's client: one request at a time on one connection, with an absolute deadline. And a watch, on a
// connection of its own (watcher.h).
//
// HTTP/1.1 by Boost.Beast's parser over this program's own blocking sockets, for their absolute deadlines.
// One thread asks; stop() may come from any. Memory: one reply of at most kMostReply bytes. Descriptors: one.
// Never throws on what the store says; what makes no sense ends the connection and counts as no answer.
#pragma once

#include <memory>
#include <mutex>
#include <string>

#include "net/socket.h"
#include "store/addresses.h"
#include "store/values.h"

namespace yokestream::store {

inline constexpr std::size_t kMaxReplyBytes = 4 * 1024 * 1024;

// The bytes of a call, as they leave.
struct GatewayCall;
std::string http_of(const GatewayCall& call, const config::Endpoint& to);

// A socket that any thread may break off, and no new one taken after that.
class CancellableSocket {
 public:
  net::Socket* renew();  // nullptr: stopped
  net::Socket* get() { return socket_.get(); }
  int descriptor() const { return socket_ ? socket_->descriptor() : -1; }
  void drop();  // the owner's thread
  void stop();  // any thread

 private:
  std::mutex mutex_;
  bool stopped_ = false;
  std::unique_ptr<net::Socket> socket_;
};

class Client {
 public:
  Client(std::vector<config::Endpoint> addresses, std::uint64_t seed, net::Time::duration spread);

  // Asks, by `deadline`; before not_before() it fails at once.
  Reply call(const Request& request, net::Time deadline);
  net::Time next_attempt_at() const { return addresses_.next_attempt_at(); }
  const config::Endpoint& endpoint() const { return addresses_.current(); }
  void record_watch_failure(net::Time now) { addresses_.record_failure(now); }  // a watch at this address
  void stop() { connection_.stop(); }  // whatever is being asked ends at once, and all that follows

 private:
  net::Socket* connected(net::Time deadline, net::ConnectFailure* failure);

  EndpointRotation addresses_;
  CancellableSocket connection_;
};

}  // namespace yokestream::store

#include "net/session_reaper.h"

#include <limits>
#include <utility>

namespace yokestream::net {

SessionReaper::SessionReaper() : retired_(std::numeric_limits<std::size_t>::max()) {
  thread_ = Thread("session-reaper", kSmallStackBytes, [this] {
    while (retired_.pop()) {
      // The popped object is destroyed here.
    }
  });
}

SessionReaper::~SessionReaper() { retired_.finish(); }

void SessionReaper::retire(std::shared_ptr<ClientSession> session) {
  session->abort("session ended");
  retired_.try_push(std::move(session), 0);
}

void SessionReaper::retire(std::unique_ptr<Listener> listener) { retired_.try_push(std::move(listener), 0); }

}  // namespace yokestream::net

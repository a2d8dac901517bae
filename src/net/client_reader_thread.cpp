// The reader thread of a busy client, which reads a ClientSession in place of the client poller.
#include <algorithm>
#include <system_error>

#include "net/client_session.h"

namespace yokestream::net {
namespace {

// A reader thread that receives nothing for this long returns its client to the client poller.
constexpr Duration kReaderIdleTimeout = std::chrono::milliseconds(1000);

}  // namespace

// Failure: no thread can be created. Symptom: the client would lose its open requests. Guard: the client
// poller continues to read it.
bool ClientSession::start_reader() try {
  if (results_sent_ < kBusyClientMinResults || !reader_pool_.reader_slots.try_reserve(reader_reservation_, 1))
    return false;
  thread_ = Thread("client-read", kSmallStackBytes, [this] {
    bool is_idle = false;
    try {
      is_idle = run_reader();
    } catch (const std::exception& error) {
      log_.write(std::string("client connection closed: cause=\"") + error.what() + "\"");
      close_cause_ = "invalid message from the client";
    }
    reader_reservation_ = {};
    if (is_idle)
      reader_pool_.client_poller.add(weak_from_this());
    else
      on_closed();
  });
  return true;
} catch (const std::system_error& error) {
  reader_reservation_ = {};
  log_.write(std::string("client reader thread not started: cause=\"") + error.what() + "\"");
  return false;
}

// Waits for credits. False: the connection is closed or aborted; on_closed() reports it.
bool ClientSession::post_all_waiting() {
  while (!messages_.is_empty()) {
    if (!credits_.acquire() || socket_.peer_has_closed()) return false;
    post_next();
  }
  return true;
}

// The client poller handles an incomplete or malformed message, and the limits of a client without memory or
// with too many refused messages.
bool ClientSession::run_reader() {
  closing_ = false;  // only the client poller closes a session, so only it may hold refusals back
  while (true) {
    const auto decoded = decode_pending(now());
    if (!post_all_waiting()) return false;
    if (protocol_error_) return true;
    if (decoded == ReadOutcome::rate_limited) return true;
    if (decoded) continue;
    track_incomplete_message(now());
    has_unposted_bytes_ = reader_.pending() > 0;
    // After a pause it reads until nothing is left, so that the backlog has an end (arrival_clock.h).
    if (!arrival_clock_.may_have_backlog()) {
      // An idle client returns to the client poller, which enforces message_timeout_.
      const auto waited = socket_.wait_readable(std::min(message_timeout_.due(), now() + kReaderIdleTimeout));
      if (waited != Socket::WaitResult::readable) return waited == Socket::WaitResult::timed_out;
    }
    has_unposted_bytes_ = true;
    ReadOutcome outcome = ReadOutcome::read_limit;
    while (outcome == ReadOutcome::read_limit) outcome = read_ahead(now());
    release_spare_input();
    if (outcome == ReadOutcome::closed) return false;
    if (outcome == ReadOutcome::no_memory) return true;  // the client poller reads the client again later
  }
}

}  // namespace yokestream::net

// A client connection that speaks MessagePack-RPC. Posts the client's messages to the dispatcher as events
// and writes the dispatcher's responses. Another client protocol would be a class like this one.
//
// The client poller's thread (poller.h) reads the connection of a client that is idle or has had few results.
// A busy client has a reader thread of its own if one is available. The two never read at the same time.
// Responses are written by the dispatcher's thread, which never blocks, and by the poller for slow writers
// while the client is slow to read (sender.h). ClientPortAdapter owns the session; pollers share ownership
// while it is registered with them.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/settings.h"
#include "metrics/metrics.h"
#include "net/arrival_clock.h"
#include "net/client_memory.h"
#include "net/events.h"
#include "net/intake_limiter.h"
#include "net/message_credits.h"
#include "net/message_queue.h"
#include "net/message_timeout.h"
#include "net/open_calls.h"
#include "net/poller.h"
#include "net/sender.h"
#include "net/thread.h"
#include "protocol/msgpack_rpc.h"

namespace yokestream::net {

// What all client sessions share for their I/O.
struct ReaderPool {
  dispatch::Budget reader_slots;                // bounds the reader threads of busy clients
  Poller& client_poller;                        // reads all other clients
  Poller& slow_writer_poller;                   // writes to clients that are slow to read
  std::shared_ptr<metrics::Metrics> metrics{};  // null: nothing is counted
};

class ClientSession : public Pollable, public std::enable_shared_from_this<ClientSession> {
 public:
  // The session holds `connection_slot`, one of a bounded number, until it is destroyed. What its client
  // makes it hold beyond a small allowance is reserved from `client_memory_budget` (client_memory.h).
  ClientSession(dispatch::SessionId id, Fd fd, dispatch::Reservation connection_slot,
                const config::RealSettings& settings, dispatch::Budget& client_memory_budget,
                DispatcherQueue& event_queue, ReaderPool& reader_pool, dispatch::Log& log);
  ~ClientSession() override;  // aborts the connection and joins its reader

  // For the client poller's thread.
  int descriptor() const override { return socket_.descriptor(); }
  PollResult on_ready(Time now, bool is_ready) override;
  Time next_due() const override { return next_due_; }
  // Reports close_cause_ to the dispatcher; also called by the reader thread.
  void on_closed() override;

  // For the dispatcher's thread.
  void send_result(dispatch::CallId call, dispatch::Result result);
  void send_rejection(dispatch::CallId call, Duration retry_after);
  void send_failure(dispatch::CallId call, std::string_view cause);
  void send_readiness(dispatch::CallId call, bool is_ready);
  void attach_quote(dispatch::CallId call, const scheduler::WaitEstimate& quote);  // sent with the result
  void send_quote(dispatch::CallId call, const scheduler::WaitEstimate& quote);
  // Called when the dispatcher has handled one of the client's messages.
  void release_message_credit() { credits_.release(); }
  // Stops reading and writing at once. `cause` is a string literal; it is logged if responses were unwritten.
  void abort(const char* cause);
  // Shuts down the write side. Returns false, and does not, if a message is unprocessed or a response
  // unwritten. A client that floods is closed later then (close_when_settled()).
  bool close_if_idle();
  // Requests that arrive from now on are refused, and the connection is closed as soon as no call is open and
  // nothing is unread. A result cancels this, as the client does not flood any more.
  void close_when_settled() { close_requested_ = true; }
  // Shuts down the write side once all queued responses are written.
  void close_after_writes() { sender_.close_after_writes(); }
  // Does the same if nothing of the client is unread or still to be handled by the dispatcher, and otherwise
  // as soon as that is so.
  void close_after_writes_if_settled();
  // Does the same, but only if nothing of the client is unread either, unless it is not read any more. False:
  // the connection stays open.
  bool close_after_writes_if_nothing_unread();
  // True if the client has closed the connection, even if the end of its stream has not been read yet.
  bool peer_has_closed() const { return socket_.peer_has_closed(); }

 private:
  struct Item {
    std::string bytes;
    dispatch::Reservation memory_reservation;  // of a result
    ClientMemory::Charge charge;               // of any other response
  };
  // Exceeds the number of open requests that the dispatcher allows a session.
  static constexpr std::size_t kMaxAttachedQuotes = 64;
  // A client with this many results is busy; one that sends a single request and stays connected is not.
  static constexpr int kBusyClientMinResults = 2;
  static constexpr const char* kClosedByClient = "closed by the client";
  static constexpr const char* kProtocolLimits = "more requests than the protocol allows";

  // What the client has sent and is not handled, or is owed, as `key=value` words for the log.
  std::string describe_pending();
  bool has_pending_requests();
  bool has_unhandled_input();  // something that the client has written and the dispatcher has not handled
  void log_close(const char* cause);
  void respond(dispatch::CallId call, Item item, std::size_t counted_bytes);
  void respond(dispatch::CallId call, std::string bytes);
  Item item_of(std::string bytes);
  void enqueue_bytes(std::string bytes);
  // Why reading or decoding stops. queue_full: the queued messages are to be posted first; rate_limited:
  // until intake_limiter_ permits it; read_limit: other clients are to be read first.
  enum class ReadOutcome {
    nothing_unread,
    queue_full,
    rate_limited,
    read_limit,
    malformed,
    closed,
    no_memory
  };
  ReadOutcome read_ahead(Time now);
  std::optional<ReadOutcome> decode_pending(Time now);
  std::optional<ReadOutcome> decode_messages(Time now);
  bool reserve_input();
  void release_spare_input();
  void take_message(Time now, MessageQueue::Entry entry);
  void take_cancellation(Time now, dispatch::CallId call, MessageQueue::Entry entry);
  bool accept_request(Time now);
  void refuse(dispatch::CallId call, const protocol::ClientMessage& message);
  void count_refusal(const protocol::ClientMessage& message);
  void send_refusals();
  void fail_queued_requests(std::string_view reason);
  void track_incomplete_message(Time now);  // starts or ends its timeout
  void post_next();
  PollResult post_all(Time now);  // wait_readable: all decoded messages have been posted
  PollResult continue_later(Time now);
  PollResult back_off(Time now, Time until);
  PollResult read_and_post(Time now);
  PollResult stall(Time now, const char* cause);
  void resume();
  PollResult end_reading(Time now, const std::string& cause);
  void update_closing();
  PollResult finish_closing(Time now);
  void stop_reading();
  PollResult wait_for_close(Time now);
  // Starts the reader thread of a busy client. False: the client is not busy or no thread is available, and
  // the client poller continues to read it.
  bool start_reader();
  bool post_all_waiting();
  bool run_reader();  // true: the client returns to the client poller; false: the connection is closed

  const dispatch::SessionId id_;
  const dispatch::Reservation connection_slot_;
  const config::RealSettings& settings_;
  DispatcherQueue& event_queue_;
  ReaderPool& reader_pool_;
  dispatch::Log& log_;
  Socket socket_;
  ClientMemory memory_;     // declared before the members that hold charges
  MessageCredits credits_;  // one for each message posted and not yet handled
  OpenCalls open_calls_;
  std::atomic<int> results_sent_{0};
  std::atomic<bool> is_flooding_{false};         // many requests were refused, and none has had a result
  std::atomic<bool> has_unposted_bytes_{false};  // bytes read whose messages are not posted yet
  std::atomic<bool> reading_stopped_{false};     // for good; responses are still written after that
  std::atomic<bool> close_requested_{false};     // close_when_settled()
  // No client that keeps to the protocol sends what this one has sent.
  std::atomic<bool> exceeds_protocol_limits_{false};
  std::atomic<bool> closed_with_pending_requests_{false};
  std::atomic<int> refused_count_{0};
  // Reading thread only: the client poller, or its reader thread.
  protocol::MsgpackReader reader_;
  MessageQueue messages_;
  std::optional<std::string> protocol_error_;  // found after the messages decoded last
  bool stalled_ = false;                      // an incomplete message has timed out; the client is still read
  Time close_deadline_ = Time::max();         // of a client that is no longer read
  ClientMemory::Charge input_charge_;         // of the bytes in reader_ and of the next read
  dispatch::Reservation reader_reservation_;  // one of reader_pool_.reader_slots
  IntakeLimiter intake_limiter_;
  std::vector<dispatch::CallId> unsent_refusals_;
  // A close is requested and no call is open: refusals are held back until nothing is unread, so that they
  // and the end of the connection reach the client together.
  bool closing_ = false;
  int closing_messages_ = 0;  // decoded since then
  bool memory_wait_logged_ = false;
  MessageTimeout message_timeout_;
  Time next_due_ = Time::max();
  ArrivalClock arrival_clock_;
  const char* close_cause_ = "closed by the client";                     // reported by on_closed()
  std::map<dispatch::CallId, scheduler::WaitEstimate> attached_quotes_;  // dispatcher thread only
  Sender<Item> sender_;
  Thread thread_;  // declared last: it uses the other members
};

}  // namespace yokestream::net

// One client connection: what it reads becomes events, what it is answered leaves. MessagePack-RPC; a second
// client protocol would be a class like this one.
//
// It is read by the lobby's thread (poller.h) while it has not been served often, or is idle, and by a reader
// of its own while it is a busy client and there is one to be had; never by both. Answers are written by the
// core's thread, which never waits, and by the writer's thread while the client is slow (sender.h).
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "config/settings.h"
#include "net/events.h"
#include "net/message_queue.h"
#include "net/pace.h"
#include "net/poller.h"
#include "net/sender.h"
#include "net/thread.h"
#include "protocol/msgpack_rpc.h"

namespace yokestream::net {

// The readers of their own that clients may have, together, and where a client goes that needs none any more;
// and who writes to clients that are slow.
struct Readers {
  dispatch::Budget places;
  Poller& lobby;
  Poller& writer;
};

class ClientSession : public Watched, public std::enable_shared_from_this<ClientSession> {
 public:
  // `slot` is its place among the connections that may be there; what it reads is taken from `budget`.
  ClientSession(dispatch::SessionId id, Fd fd, dispatch::Reservation slot, const config::RealSettings& names,
                dispatch::Budget& budget, DispatcherQueue& inbox, Readers& readers, dispatch::Log& log);
  ~ClientSession() override;  // breaks off and joins

  // For the lobby's thread.
  int descriptor() const override { return socket_.descriptor(); }
  Look look(Time now, bool asked) override;
  Time due() const override { return due_; }
  void end() override;  // tells the core that it has ended, and why (`ending_`)

  // For the core's thread.
  void serve(dispatch::CallId call, dispatch::Result result);
  void refuse(dispatch::CallId call, Duration come_back_after);
  void fail(dispatch::CallId call, std::string_view why);
  void answer_probe(dispatch::CallId call, bool able);
  void quoted(dispatch::CallId call, const queues::Quote& quote);  // kept for the answer
  void answer_quote(dispatch::CallId call, const queues::Quote& quote);
  void taken() { turns_.give_back(); }  // the core has taken in one of its messages
  // Nothing more is read or written. `why`: a static text for the log, where answers had not all left.
  void break_off(const char* why);
  bool break_off_idle();               // false: a message or an answer is on its way
  void finish() { sender_.finish(); }  // the connection ends once all answers are written
  void finish_if_settled();            // the same, unless a message of it is still on its way to the core
  bool client_has_left() const { return socket_.peer_has_closed(); }  // though nobody has read that yet

 private:
  struct Item {
    std::string bytes;
    dispatch::Reservation held;
  };
  static constexpr std::size_t kMostQuotes = 64;  // more than the core lets a session have open
  static constexpr int kServedOften = 2;          // who asks once and stays is no busy client

  void add(std::string bytes, dispatch::Reservation held, std::size_t counted);
  void say(std::string bytes);
  enum class Came { nothing, something, end };
  Came read_some();
  void decode_ahead();
  // Of a message that is not whole yet: its time and its bytes. False: there is no memory for more of it now.
  bool bound_rest();
  void hand_in_next();
  Look hand_in_all(Time now);  // again: all is handed in
  Look pause(Time now, Time until);
  Look read_now(Time now);
  Look stop_reading(Time now, const std::string& why);
  Look wait_for_end(Time now);
  // A client that has been served often and has just asked gets a reader. False: it needs none, or none can
  // be had, and it is read here as before.
  bool start_reader();
  bool read_busy();  // true: it goes back to the lobby, false: it has ended

  const dispatch::SessionId id_;
  const dispatch::Reservation slot_;
  const config::RealSettings& names_;
  dispatch::Budget& budget_;
  DispatcherQueue& inbox_;
  Readers& readers_;
  dispatch::Log& log_;
  Socket socket_;
  Turns turns_;
  std::atomic<int> served_{0};
  std::atomic<bool> busy_{false};  // its reader holds bytes of which the core does not know
  // Whoever reads it owns these.
  protocol::MsgpackReader reader_;
  MessageQueue messages_;
  std::optional<std::string> fault_;        // what makes no sense, behind the messages ahead of it
  bool reading_over_ = false;               // nothing more is read; what it is owed still leaves
  Time end_by_ = Time::max();               // then it goes, though it has not read all
  dispatch::Reservation buffered_, place_;  // bytes; among the readers
  Pace pace_;
  Time whole_by_ = Time::max();  // a message that has begun is whole by then
  Time due_ = Time::max();
  Time arrived_{};                    // the last bytes
  std::optional<Time> unread_since_;  // it was not read from then on, though something may have come
  const char* ending_ = "closed by its client";       // why it ends, as end() tells the core
  std::map<dispatch::CallId, queues::Quote> quotes_;  // the core thread's
  Sender<Item> sender_;
  Thread thread_;  // last: it uses the rest
};

}  // namespace yokestream::net

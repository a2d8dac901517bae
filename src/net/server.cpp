#include "net/server.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <type_traits>

#include "protocol/resp.h"

namespace yokestream::net {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kInboxEvents = 4096;
// Readers that busy clients may have of their own: a machine holds hundreds of managers, and only so many
// threads (docs/design/fleet.md). Clients beyond are read by the lobby's thread.
constexpr std::size_t kMostReaders = 32;
constexpr std::size_t kBudgetShare = 4;                  // a quarter of the memory for statements and results
constexpr Duration kDescriptorPause = milliseconds(10);  // when none is free
constexpr Duration kSlowTurn = milliseconds(40);
// For answers that are queued when all is over. Guards them against a writer that does not run for a moment:
// a part of a core is shared by all. Still before the kill, 3.7 s after the word to leave.
constexpr Duration kLastWrites = milliseconds(600);

// Whose message it is, if a client's.
std::optional<manager::SessionId> sender_of(const manager::Event& event) {
  return std::visit(
      [](const auto& e) -> std::optional<manager::SessionId> {
        using E = std::decay_t<decltype(e)>;
        if constexpr (std::is_same_v<E, manager::Arrived> || std::is_same_v<E, manager::BadRequest> ||
                      std::is_same_v<E, manager::GaveUp> || std::is_same_v<E, manager::ProbeAsked>)
          return e.session;
        else if constexpr (std::is_same_v<E, manager::QuoteAsked>)
          return e.request.session;
        else
          return std::nullopt;
      },
      event);
}

}  // namespace

Undertaker::Undertaker() : dead_(~std::size_t{0}) {
  thread_ = Thread("undertaker", kSmallStack, [this] {
    while (dead_.take()) {
    }
  });
}
Undertaker::~Undertaker() { dead_.finish(); }
void Undertaker::bury(std::shared_ptr<ClientSession> session) {
  session->break_off("its session has ended");
  dead_.add(std::move(session), 0);
}
void Undertaker::bury(std::unique_ptr<Listener> listener) { dead_.add(std::move(listener), 0); }

Listener::Listener(const config::Config& config, manager::Budget& slots, manager::Budget& budget,
                   Inbox& inbox, Readers& readers, manager::Log& log)
    : fd_(listen_on(config.listen)),
      over_(::eventfd(0, EFD_CLOEXEC)),
      names_(config.real),
      budget_(budget),
      slots_(slots),
      inbox_(inbox),
      readers_(readers),
      log_(log) {
  if (!over_ || ::fcntl(fd_.get(), F_SETFL, O_NONBLOCK) != 0)
    throw std::system_error(errno, std::generic_category(), "cannot wait for clients");
  thread_ = Thread("listener", kSmallStack, [this] { accept_all(); });
}

Listener::~Listener() {
  const std::uint64_t one = 1;
  [[maybe_unused]] const auto written = ::write(over_.get(), &one, sizeof one);
}

// Guards the end: whoever waits in accept() itself is not woken by the end of the listener on every platform.
bool Listener::wait_until(Time deadline, bool for_clients) {
  pollfd both[] = {{over_.get(), POLLIN, 0}, {fd_.get(), POLLIN, 0}};
  ::poll(both, for_clients ? 2 : 1, milliseconds_until(deadline));
  return (both[0].revents & POLLIN) == 0;
}

void Listener::accept_all() {
  bool short_of = false;
  while (true) {
    // Guards the descriptors that links to engines need: who is one too many waits to be accepted, and the
    // core closes idle connections before it comes to that.
    manager::Reservation slot;
    if (!slots_.take(slot, 1)) {
      if (!wait_until(now() + kDescriptorPause, false)) return;
      continue;
    }
    if (!wait_until(Time::max(), true)) return;
    sockaddr_in from{};
    socklen_t size = sizeof from;
    Fd fd(::accept4(fd_.get(), reinterpret_cast<sockaddr*>(&from), &size, SOCK_CLOEXEC));
    if (fd) {
      const int on = 1;
      setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      // Guards the time limits: a request counts from its last byte, so it is read from here on and does
      // not wait for a busy core. The core hears of the session first, and so of its requests later.
      const manager::SessionId id{++last_session_};
      const auto session = std::make_shared<ClientSession>(id, std::move(fd), std::move(slot), names_,
                                                           budget_, inbox_, readers_, log_);
      inbox_.post(Accepted{id, from.sin_addr.s_addr, session});
      readers_.lobby.admit(session);
      short_of = false;
      continue;
    }
    // Guards against an end of descriptors or memory: who waits is accepted when some are free again.
    const int error = errno;
    const bool passing = error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
    if (passing && !std::exchange(short_of, true)) log_.note("no descriptor is free for a new connection");
    const bool gone = error == EAGAIN || error == EINTR || error == ECONNABORTED;  // it left before its turn
    if (!gone && !wait_until(now() + kDescriptorPause, false)) return;
  }
}

Server::Server(const config::Config& config, manager::Log& log)
    : config_(config),
      log_(log),
      budget_(config.limits.memory_mb * 1024 * 1024 / kBudgetShare),
      slots_(config.limits.sessions()),
      inbox_(kInboxEvents),
      dock_("dock"),
      lobby_("lobby"),
      writer_("writer"),
      readers_{manager::Budget(kMostReaders), lobby_, writer_},
      manager_(config, now(), from_unix_ms, budget_, *this, *this, log) {
  last_event_ = config.known_number;
  follow(config.feed);
  listener_ = std::make_unique<Listener>(config, slots_, budget_, inbox_, readers_, log);
  core_ = Thread("core", kLargeStack, [this] { run(); });
}

Server::~Server() {
  inbox_.close();  // whoever waits to post to it goes on, and ends
  core_.join();
  listener_.reset();
  feed_.reset();
  sessions_.clear();
  links_.clear();
}

void Server::reload(const config::Config& config) {
  inbox_.post(Reloaded{config.feed, config.door, config.queues});
}

// The numbers carry on: the new feed is asked for what the old one has not told yet.
void Server::follow(const std::optional<config::Endpoint>& feed) {
  if (feed == followed_) return;
  if (feed_) last_event_ = feed_->end();
  feed_.reset();
  followed_ = feed;
  if (feed) feed_ = std::make_unique<FeedFollower>(*feed, last_event_, inbox_, log_);
}

void Server::leave() { inbox_.post(manager::Event(manager::Leave{})); }

void Server::wait() { core_.join(); }

void Server::run() {
  while (true) {
    const Time time = now();
    const bool late = manager_.end_by() != Time::max() && time >= manager_.end_by() + kLastWrites;
    if (manager_.left(time) || late) break;
    if (listener_ && !manager_.listens(time)) undertaker_.bury(std::move(listener_));
    auto events = inbox_.take_until(manager_.next_due());
    const Time began = now();
    const std::size_t count = events.size();
    for (auto& event : events) {
      take(std::move(event));
      manager_.tick(now());  // a crowd of events, as when an engine dies, must not make last answers late
    }
    manager_.tick(now());
    note_if_slow(began, count);
  }
  close_sessions();
}

// Tells of a core that falls behind, as answers are late then; once a second at most.
void Server::note_if_slow(Time began, std::size_t events) {
  const Time ended = now();
  if (ended - began < kSlowTurn || ended < next_slow_note_) return;
  next_slow_note_ = ended + std::chrono::seconds(1);
  log_.note("the core took " + std::to_string((ended - began) / milliseconds(1)) + " ms for " +
            std::to_string(events) + " events, with " + std::to_string(manager_.open_requests()) +
            " requests open");
}

void Server::take(DriverEvent event) {
  if (auto* accepted = std::get_if<Accepted>(&event)) {
    sessions_.emplace(accepted->id, std::move(accepted->session));
    return manager_.handle(now(), manager::SessionBegan{accepted->id, accepted->origin});
  }
  if (const auto* reloaded = std::get_if<Reloaded>(&event)) {
    manager_.configure(now(), reloaded->door);
    manager_.configure(now(), reloaded->queues);
    return follow(reloaded->feed);
  }
  auto& told = std::get<manager::Event>(event);
  const auto sender = sender_of(told);
  if (const auto* session = std::get_if<manager::SessionEnded>(&told)) {
    const auto id = session->session;
    manager_.handle(now(), std::move(told));
    if (auto ended = sessions_.extract(id)) undertaker_.bury(std::move(ended.mapped()));
  } else if (const auto* link = std::get_if<manager::LinkEnded>(&told)) {
    const auto id = link->link;
    manager_.handle(now(), std::move(told));
    close(id);
  } else {
    manager_.handle(now(), std::move(told));
    if (auto* s = sender ? find(*sender) : nullptr) s->taken();
  }
}

// Answers that are queued still leave; a client that does not read them does not hold up the end.
void Server::close_sessions() {
  for (auto& [id, session] : sessions_) session->finish();
  const Time until = now() + kLastWrites;
  while (!sessions_.empty() && now() < until) {
    for (auto& event : inbox_.take_until(until)) {
      const auto* told = std::get_if<manager::Event>(&event);
      const auto* ended = told ? std::get_if<manager::SessionEnded>(told) : nullptr;
      if (ended) sessions_.erase(ended->session);
    }
  }
}

ClientSession* Server::find(manager::SessionId session) {
  const auto it = sessions_.find(session);
  return it == sessions_.end() ? nullptr : it->second.get();
}
EngineLink* Server::find(manager::LinkId link) {
  const auto it = links_.find(link);
  return it == links_.end() ? nullptr : it->second.get();
}

void Server::serve(manager::SessionId session, manager::CallId call, manager::Result result) {
  if (auto* s = find(session)) s->serve(call, std::move(result));
}
void Server::refuse(manager::SessionId session, manager::CallId call, Duration come_back_after) {
  if (auto* s = find(session)) s->refuse(call, come_back_after);
}
void Server::fail(manager::SessionId session, manager::CallId call, std::string_view why) {
  if (auto* s = find(session)) s->fail(call, why);
}
void Server::quoted(manager::SessionId session, manager::CallId call, const queues::Quote& quote) {
  if (!config_.real.quote_method) return;
  if (auto* s = find(session)) s->quoted(call, quote);
}

void Server::answer_quote(manager::SessionId session, manager::CallId call, const queues::Quote& quote) {
  if (auto* s = find(session)) s->answer_quote(call, quote);
}

void Server::answer_probe(manager::SessionId session, manager::CallId call, bool able) {
  if (auto* s = find(session)) s->answer_probe(call, able);
}
void Server::close(manager::SessionId session) {
  if (auto* s = find(session)) s->break_off("closed by the core");
}

bool Server::close_idle(manager::SessionId session) {
  auto* s = find(session);
  return s && s->break_off_idle();
}

void Server::open(manager::LinkId link, const config::Endpoint& endpoint, Time deadline) {
  const auto opened =
      std::make_shared<EngineLink>(link, endpoint, deadline, config_.real.report_fields, inbox_, writer_);
  links_.emplace(link, opened);
  dock_.admit(opened);
}
void Server::send(manager::LinkId link, manager::SendTag tag, EngineRequest request) {
  if (auto* l = find(link)) l->send(tag, std::move(request));
}
bool Server::withdraw(manager::LinkId link, manager::SendTag tag) {
  auto* l = find(link);
  return l && l->withdraw(tag);
}
void Server::stop(manager::LinkId link, std::string_view id) {
  if (auto* l = find(link)) l->say(protocol::encode_stop(id));
}
void Server::hello(manager::LinkId link, std::string_view tag) {
  if (auto* l = find(link)) l->say(protocol::encode_hello(tag));
}
void Server::nice(manager::LinkId link, std::string_view id, std::uint32_t band) {
  if (auto* l = find(link)) l->say(protocol::encode_nice(id, band));
}
void Server::fetch(manager::LinkId link, std::string_view id, std::uint32_t page) {
  if (auto* l = find(link)) l->say(protocol::encode_fetch(id, page));
}
void Server::end(manager::LinkId link, std::string_view id) {
  if (auto* l = find(link)) l->say(protocol::encode_end(id));
}
void Server::close(manager::LinkId link) {
  if (auto closed = links_.extract(link)) closed.mapped()->break_off();  // the dock may hold it still
}

}  // namespace yokestream::net

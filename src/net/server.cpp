#include "net/server.h"

#include <algorithm>
#include <type_traits>

namespace yokestream::net {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kInboxEvents = 4096;
// Readers that busy clients may have of their own: a machine holds hundreds of managers, and only so many
// threads (docs/design/fleet.md). Clients beyond are read by the lobby's thread.
constexpr std::size_t kMostReaders = 32;
constexpr std::size_t kBudgetShare = 4;  // a quarter of the memory for statements and results
constexpr Duration kSlowTurn = milliseconds(40);
// For answers that are queued when all is over. Guards them against a writer that does not run for a moment:
// a part of a core is shared by all. Still before the kill, 3.7 s after the word to leave.
constexpr Duration kLastWrites = milliseconds(600);
constexpr Duration kLastLooks = milliseconds(10);  // at what is not settled yet

// Whose message it is, if a client's.
std::optional<dispatch::SessionId> sender_of(const dispatch::Event& event) {
  return std::visit(
      [](const auto& e) -> std::optional<dispatch::SessionId> {
        using E = std::decay_t<decltype(e)>;
        if constexpr (std::is_same_v<E, dispatch::RequestReceived> ||
                      std::is_same_v<E, dispatch::BadRequest> ||
                      std::is_same_v<E, dispatch::RequestCancelled> ||
                      std::is_same_v<E, dispatch::ProbeReceived>)
          return e.session;
        else if constexpr (std::is_same_v<E, dispatch::QuoteRequested>)
          return e.request.session;
        else
          return std::nullopt;
      },
      event);
}

bool shares(const config::Config& config) { return config.listen_fd && !config.shared_folder.empty(); }
std::optional<snapshot::RestoredState> handed_down(const config::Config& config, dispatch::Log& log) {
  return shares(config) ? HandOver::read(config.shared_folder, config.real, log) : std::nullopt;
}

}  // namespace

Server::Server(const config::Config& config, dispatch::Log& log)
    : config_(config),
      log_(log),
      budget_(config.limits.memory_mb * 1024 * 1024 / kBudgetShare),
      slots_(config.limits.sessions()),
      inbox_(kInboxEvents),
      dock_("dock"),
      lobby_("lobby"),
      writer_("writer"),
      readers_{dispatch::Budget(kMostReaders), lobby_, writer_},
      manager_(config, now(), from_unix_ms, budget_, *this, *this, log, handed_down(config, log)) {
  feed_ = std::make_unique<FeedFollower>(config.feed, config.known_number, config.seed, inbox_, log);
  listener_ = std::make_unique<Listener>(config, gate_, slots_, budget_, inbox_, readers_, log);
  if (shares(config)) {
    together_.emplace(config.shared_folder);
    hand_over_.emplace(config.shared_folder, together_->place(), config.real);
  }
  // Beside another process this one accepts once it was asked whether it is ready: until then the other one
  // serves.
  if (!together_ || !config.management || !together_->successor()) open_gate();
  if (config.fleet.on) keeper_.emplace(config, inbox_, log);
  if (config.management)
    management_ =
        std::make_unique<Management>(*config.management, manager_.metrics(), [this] { open_gate(); });
  core_ = Thread("core", kLargeStack, [this] { run(); });
}

Server::~Server() {
  inbox_.close();  // whoever waits to post to it goes on, and ends
  core_.join();
  management_.reset();  // it reads the core's figures
  keeper_.reset();      // it posts to the inbox, which nobody empties any more
  listener_.reset();
  feed_.reset();
  sessions_.clear();
  links_.clear();
}

void Server::reload(const config::Config& config) {
  inbox_.post(Reloaded{config.feed, config.door, config.queues});
}

std::optional<config::Endpoint> Server::management() const {
  return management_ ? std::optional(management_->endpoint()) : std::nullopt;
}

void Server::open_gate() {
  gate_.open();
  if (together_) together_->say_yes();
}

void Server::leave() { inbox_.post(dispatch::Event(dispatch::BeginShutdown{})); }

void Server::wait() { core_.join(); }

// Once a turn, so within a sweep of the core: what the operators want and what they are to see; whether the
// process that this one stood beside has gone before anybody asked for the yes, or another one serves by now
// though none did when this one was told to end.
void Server::heed_operators() {
  if (management_) {
    const bool wanted = management_->evacuated();
    if (std::exchange(evacuated_, wanted) != wanted) {
      manager_.handle(now(), evacuated_ ? dispatch::Event(dispatch::StartDraining{}) : dispatch::Resume{});
      log_.write(evacuated_ ? "clients are sent away" : "clients are wanted back");
    }
    const auto& service = manager_.lifecycle();
    management_->publish(service.is_shutting_down() ? Management::Standing::leaving
                         : service.is_ready()       ? Management::Standing::ready
                                                    : Management::Standing::draining);
  }
  if (together_ && now() >= next_look_) look_at_others();
}

void Server::run() {
  while (true) {
    const Time time = now();
    const Time end_by = manager_.lifecycle().shutdown_deadline();
    if (manager_.shutdown_complete(time) || (end_by != Time::max() && time >= end_by + kLastWrites)) break;
    if (listener_ && !manager_.lifecycle().accepts_connections(time)) undertaker_.bury(std::move(listener_));
    heed_operators();
    if (keeper_) look_at_part(), look_at_routes();
    auto events = inbox_.drain_until(manager_.next_due());
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
  log_.write("the core took " + std::to_string((ended - began) / milliseconds(1)) + " ms for " +
             std::to_string(events) + " events, with " + std::to_string(manager_.open_requests()) +
             " requests open");
}

void Server::take(DriverEvent event) {
  if (auto* accepted = std::get_if<Accepted>(&event)) {
    sessions_.emplace(accepted->id, std::move(accepted->session));
    return manager_.handle(now(), dispatch::SessionOpened{accepted->id, accepted->origin});
  }
  if (const auto* reloaded = std::get_if<Reloaded>(&event)) {
    manager_.configure(now(), reloaded->door);
    manager_.configure(now(), reloaded->queues);
    return feed_->follow(reloaded->feed);
  }
  if (const auto* part = std::get_if<FleetTold>(&event)) {
    allowed_ = part->allowed;
    return;
  }
  if (const auto* routes = std::get_if<RoutesTold>(&event)) return take(*routes);
  auto& told = std::get<dispatch::Event>(event);
  if (keeper_ && std::holds_alternative<dispatch::RequestReceived>(told)) keeper_->arrived();
  if (auto* leave = std::get_if<dispatch::BeginShutdown>(&told)) {
    if (management_) management_->publish(Management::Standing::leaving);  // no yes once the word is out
    *leave = leave_as();
    if (together_) together_->step_down();
    if (keeper_) keeper_->leave();
    log_.write(leave->has_successor ? "another process serves from now on" : "nobody else serves here");
  }
  const auto sender = sender_of(told);
  if (const auto* session = std::get_if<dispatch::SessionClosed>(&told)) {
    const auto id = session->session;
    manager_.handle(now(), std::move(told));
    if (auto ended = sessions_.extract(id)) undertaker_.bury(std::move(ended.mapped()));
  } else if (const auto* link = std::get_if<dispatch::EngineDisconnected>(&told)) {
    const auto id = link->connection;
    manager_.handle(now(), std::move(told));
    close(id);
  } else {
    manager_.handle(now(), std::move(told));
    if (auto* s = sender ? find(*sender) : nullptr) s->release_message_credit();
  }
}

// In this order: nobody more is accepted; what has been read is answered, by now with a refusal; what is
// queued leaves; the connections are half closed, so that none is reset upon its last answers. A client that
// does not read them, or never stops asking, does not hold up the end.
void Server::close_sessions() {
  if (listener_) undertaker_.bury(std::move(listener_));
  const Time until = now() + kLastWrites;
  bool first = true;  // a connection accepted last may wait in the inbox
  while ((std::exchange(first, false) || !sessions_.empty()) && now() < until) {
    for (auto& [id, session] : sessions_) session->close_after_writes_if_settled();
    for (auto& event : inbox_.drain_until(std::min(until, now() + kLastLooks))) take(std::move(event));
    manager_.tick(now());
  }
}

}  // namespace yokestream::net

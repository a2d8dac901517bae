#include "net/server.h"

namespace yokestream::net {
namespace {

constexpr std::size_t kMaxQueuedEvents = 4096;
// Bounds the reader threads of busy clients, because a machine runs hundreds of managers and has a limited
// number of threads (docs/design/fleet.md). The client poller reads the other clients.
constexpr std::size_t kMaxReaderThreads = 32;
// A quarter of the memory limit is the budget for statements and results.
constexpr std::size_t kMemoryBudgetDivisor = 4;
// An eighth is the budget for the clients' unhandled messages and unread responses.
constexpr std::size_t kClientMemoryDivisor = 8;
constexpr std::size_t kBytesPerMb = 1024 * 1024;

}  // namespace

Server::Server(const config::Config& config, dispatch::Log& log)
    : log_(log),
      memory_budget_(config.limits.memory_mb * kBytesPerMb / kMemoryBudgetDivisor),
      client_memory_budget_(config.limits.memory_mb * kBytesPerMb / kClientMemoryDivisor),
      session_slots_(config.limits.sessions()),
      events_(kMaxQueuedEvents),
      engine_poller_("engine-poller"),
      client_poller_("client-poller"),
      slow_writer_poller_("writer"),
      reader_pool_{dispatch::Budget(kMaxReaderThreads), client_poller_, slow_writer_poller_},
      client_port_(config.real),
      engine_port_(config.real, events_, engine_poller_, slow_writer_poller_, dispatcher_),
      dispatcher_(config, now(), from_unix_ms, memory_budget_, client_port_, engine_port_, log,
                  upgrade::load_predecessor_state(config, log)) {
  discovery_ = std::make_unique<discovery::DiscoveryWatcher>(config.feed, config.known_number, config.seed,
                                                             events_, log);
  reader_pool_.metrics = dispatcher_.shared_metrics();  // before there is a session
  listener_ = std::make_unique<Listener>(config, accept_gate_, session_slots_, client_memory_budget_, events_,
                                         reader_pool_, log);
  if (upgrade::is_enabled(config))
    upgrade_.emplace(config, accept_gate_, session_slots_, memory_budget_, dispatcher_);
  // A successor accepts clients only after the first readyz request. Until then its predecessor serves.
  if (!upgrade_ || !config.management || !upgrade_->has_successor()) begin_serving();
  if (config.fleet.enabled) {
    coordination_.emplace(config, events_, log);
    fleet_state_.emplace(dispatcher_, *coordination_);
  }
  if (config.management)
    admin_ = std::make_unique<admin::AdminListener>(*config.management, dispatcher_.metrics(),
                                                    [this] { begin_serving(); });
  dispatcher_loop_ = std::make_unique<DispatcherLoop>(DispatcherLoop::Components{
      config.real, log_, events_, dispatcher_, client_port_, engine_port_, listener_, session_reaper_,
      *discovery_, upgrade_ ? &*upgrade_ : nullptr, fleet_state_ ? &*fleet_state_ : nullptr, admin_.get()});
}

Server::~Server() {
  events_.close();  // unblocks the threads that wait to post, so that they can end
  dispatcher_loop_->join();
  admin_.reset();         // it reads the dispatcher's metrics
  coordination_.reset();  // the events that it posts are dropped
  listener_.reset();
  discovery_.reset();
  client_port_.clear();
  engine_port_.clear();
}

void Server::begin_serving() {
  if (upgrade_)
    upgrade_->begin_serving();
  else
    accept_gate_.open();
}

std::optional<config::Endpoint> Server::admin_endpoint() const {
  return admin_ ? std::optional(admin_->endpoint()) : std::nullopt;
}

void Server::reload(const config::Config& config) {
  events_.post(ConfigurationReloaded{config.feed, config.door, config.queues});
}

void Server::begin_shutdown() { events_.post(dispatch::Event(dispatch::BeginShutdown{})); }

void Server::wait() { dispatcher_loop_->join(); }

}  // namespace yokestream::net

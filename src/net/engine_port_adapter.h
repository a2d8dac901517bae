// Implements the dispatcher's port to engines on sockets: owns the engine connections and sends the
// dispatcher's actions as commands of the engine protocol. Actions on a connection that has ended are
// ignored.
//
// Used by the dispatcher's thread only.
#pragma once

#include <map>
#include <memory>
#include <string_view>

#include "config/settings.h"
#include "dispatch/dispatcher.h"
#include "dispatch/ports.h"
#include "net/engine_connection.h"
#include "net/events.h"
#include "net/poller.h"

namespace yokestream::net {

class EnginePortAdapter : public dispatch::EnginePort {
 public:
  // `engine_poller` reads the connections; `slow_writer_poller` writes to engines that are slow to read. The
  // connections count attempts in the metrics of `dispatcher`, which may be constructed after this object.
  EnginePortAdapter(const config::RealSettings& settings, DispatcherQueue& events, Poller& engine_poller,
                    Poller& slow_writer_poller, dispatch::Dispatcher& dispatcher);

  void clear() { connections_.clear(); }

  void connect(dispatch::EngineConnectionId id, const config::Endpoint& endpoint, Time deadline) override;
  void send(dispatch::EngineConnectionId id, dispatch::AttemptTag tag, EngineRequest request) override;
  bool withdraw(dispatch::EngineConnectionId id, dispatch::AttemptTag tag) override;
  void cancel(dispatch::EngineConnectionId id, std::string_view request_id) override;
  void ping(dispatch::EngineConnectionId id, std::string_view tag) override;
  void set_priority(dispatch::EngineConnectionId id, std::string_view request_id,
                    std::uint32_t band) override;
  void fetch_page(dispatch::EngineConnectionId id, std::string_view request_id, std::uint32_t page) override;
  void release_result(dispatch::EngineConnectionId id, std::string_view request_id) override;
  void close(dispatch::EngineConnectionId id) override;

 private:
  EngineConnection* find(dispatch::EngineConnectionId id);
  void write(dispatch::EngineConnectionId id, std::string command);

  const config::RealSettings& settings_;
  DispatcherQueue& events_;
  Poller& engine_poller_;
  Poller& slow_writer_poller_;
  dispatch::Dispatcher& dispatcher_;
  std::map<dispatch::EngineConnectionId, std::shared_ptr<EngineConnection>> connections_;
};

}  // namespace yokestream::net

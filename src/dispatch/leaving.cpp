// Leaving: a planned restart (service.h has its times). Who comes in the first while is served, who comes
// later is refused, and by the end everybody has an answer. A request that was never out may be refused; one
// that may have run and must not run twice fails.
#include "dispatch/dispatcher.h"

namespace yokestream::dispatch {
namespace {

using policy::QueryId;

}  // namespace

void Dispatcher::on(const BeginShutdown& leave) {
  const bool again = service_.is_shutting_down();
  service_.begin_shutdown(now_, leave.has_successor, leave.max_duration);
  if (!again) at(service_.shutdown_deadline(), EndAll{});
  look_at_service();
}

// Guards the requests that a planned restart would cut off: their clients hear at once that they may ask
// elsewhere, or that it failed.
void Dispatcher::due(const EndAll&) {
  while (!calls_.empty()) {
    const QueryId query = calls_.begin()->second;
    const Request& request = requests_.at(query);
    const auto& cls = class_of(request.told);
    if (request.attempts == 0 || cls.idempotency == policy::Idempotency::idempotent)
      refuse(request.told, Duration{});
    else
      fail(request.told, "Leaving");
    client_left(query);
  }
}

}  // namespace yokestream::dispatch

// Leaving: a planned restart (service.h has its times). Who comes in the first while is served, who comes
// later is refused, and by the end everybody has an answer. A request that was never out may be refused; one
// that may have run and must not run twice fails.
#include "manager/manager.h"

namespace yokestream::manager {
namespace {

using lynxstand::QueryId;

}  // namespace

void Manager::on(const Leave& leave) {
  const bool again = service_.leaving();
  service_.leave(now_, leave.successor, leave.most);
  if (!again) at(service_.end_by(), EndAll{});
  look_at_service();
}

// Guards the requests that a planned restart would cut off: their clients hear at once that they may ask
// elsewhere, or that it failed.
void Manager::due(const EndAll&) {
  while (!calls_.empty()) {
    const QueryId query = calls_.begin()->second;
    const Request& request = requests_.at(query);
    const auto& cls = class_of(request.told);
    if (request.attempts == 0 || cls.repeatable == lynxstand::Repeatable::always)
      refuse(request.told, Duration{});
    else
      fail(request.told, "Leaving");
    client_left(query);
  }
}

}  // namespace yokestream::manager

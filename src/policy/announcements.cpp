#include "announcements.h"

#include <algorithm>

namespace yokestream::policy {

bool probing_enabled(const Settings& settings) {
  const auto& fields = settings.load_report_fields;
  const bool shows_load = std::any_of(fields.begin(), fields.end(), [](LoadReportField field) {
    return field == LoadReportField::inflight || field == LoadReportField::cpu ||
           field == LoadReportField::disks;
  });
  return settings.may_probe && settings.manager_count > 1 &&
         settings.load_report_source != LoadReportSource::none && shows_load;
}

}  // namespace yokestream::policy

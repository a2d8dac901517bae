// Formats the status report of migrations for staff: the progress of each plan, and the members and gates
// that it waits for. Pure functions; any thread.
#pragma once

#include <map>
#include <string>

#include "coordination/store_keys.h"
#include "migration/record.h"

namespace yokestream::migration {

// `live_members`: by session. `task`: the task name under which members acknowledge epochs.
// `pending_requests`: staff requests that the leader has not answered yet. Each line ends with a newline.
std::string format_status(const MigrationRecord& record,
                          const std::map<std::string, coordination::MemberRecord>& live_members,
                          const std::string& task,
                          const std::map<std::string, std::string>& pending_requests);

}  // namespace yokestream::migration

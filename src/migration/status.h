// What staff are told of migrations: how far each plan has come, and which edge or gate is waited for. Pure.
#pragma once

#include <map>
#include <string>

#include "coordination/store_keys.h"
#include "migration/record.h"

namespace yokestream::migration {

// `living`: facts by session. `duty`: under which name they acknowledge. `asked`: what the owner has not
// answered yet. Lines, each with its end.
std::string status(const MigrationRecord& record,
                   const std::map<std::string, coordination::MemberRecord>& living, const std::string& duty,
                   const std::map<std::string, std::string>& asked);

}  // namespace yokestream::migration

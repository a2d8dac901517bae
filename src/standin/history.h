// What stands in the store's history, held against the safety rules of a duty: replayed change by change.
// Names the rule and the change that broke it. Pure. Memory: the line, the facts and one table.
#pragma once

#include <map>
#include <set>
#include <string>

#include "coordination/fleet_member.h"
#include "coordination/load_shares.h"
#include "standin/store_model.h"

namespace yokestream::standin {

class DutyChecker {
 public:
  DutyChecker(const std::string& prefix, std::size_t told) : names_(prefix), shares_(told) {}
  // Empty, or the first rule that is broken up to this change.
  const std::string& take(const StoreModel::Change& change);
  const std::string& broken() const { return broken_; }

 private:
  void state(const StoreModel::Change& change);
  void fail(const std::string& rule, const StoreModel::Change& change, const std::string& why);

  const coordination::StoreKeys names_;
  const coordination::LoadShareCalculator shares_;
  std::map<std::string, store::Revision> line_;  // candidates by key: their create revision
  std::map<std::string, coordination::MemberRecord> living_, known_;  // now; ever
  coordination::LoadShareTable table_;
  std::string broken_;
};

}  // namespace yokestream::standin

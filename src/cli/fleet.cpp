// fleet propose, status, halt, resume: what staff ask the owner of the fleet's work for, through the store.
#include <iostream>
#include <memory>

#include "base/json.h"
#include "cli/commands.h"
#include "migration/mover.h"
#include "migration/status.h"
#include "net/clock.h"
#include "operator/operator_file.h"
#include "store/client.h"

namespace yokestream::cli {
namespace {

constexpr auto kAskWithin = std::chrono::seconds(5);

// The store, as one command meets it: every address is tried.
class Desk {
 public:
  explicit Desk(const config::Config& config) : config_(config), names_(config.fleet.key_prefix) {
    if (!config.fleet.on) throw config::ConfigError("fleet.on", "the fleet shares no store");
  }
  const coordination::StoreKeys& names() const { return names_; }

  store::Completed ask(const store::Request& request) {
    std::string why;
    for (const auto& address : config_.fleet.store_endpoints) {
      store::Client client({address}, 0, std::chrono::milliseconds(1));
      const auto reply = client.call(request, net::now() + kAskWithin);
      if (const auto* done = std::get_if<store::Completed>(&reply)) return *done;
      const auto* failed = std::get_if<store::Failed>(&reply);
      why =
          to_string(address) + ": " + (failed ? failed->cause : std::get<store::OutcomeUnknown>(reply).cause);
    }
    throw config::ConfigError("fleet.store", why);
  }
  std::map<std::string, std::string> all(const std::string& prefix) {
    std::map<std::string, std::string> out;
    const auto done = ask(store::Range{prefix, store::prefix_range_end(prefix), 0});
    for (const auto& kv : done.ranges.empty() ? std::vector<store::KeyValue>{} : done.ranges[0].key_values)
      out[kv.key.substr(prefix.size())] = kv.value;
    return out;
  }
  // Written once, however often the command is given: one whose answer was lost is found there, as long as
  // the owner has not answered it.
  bool put_new(const std::string& what, const std::string& text) {
    const std::string key = names_.staff_requests() + what;
    const auto done = ask(store::Txn{{{store::Compare::Target::create_revision, key, 0, {}}},
                                     {store::Put{key, text, store::LeaseId::none}},
                                     {store::Range{key, {}, 0}}});
    return done.succeeded || (!done.ranges.empty() && !done.ranges[0].key_values.empty() &&
                              done.ranges[0].key_values[0].value == text);
  }
  migration::MigrationRecord record() {
    const std::string key = names_.task_state(migration::MigrationTask::kName);
    const auto done = ask(store::Range{key, {}, 0});
    if (done.ranges.empty() || done.ranges[0].key_values.empty()) return {};
    auto record = migration::decode_record(done.ranges[0].key_values[0].value);
    if (!record) throw config::ConfigError(key, "it can't be read");
    return *record;
  }

 private:
  const config::Config& config_;
  const coordination::StoreKeys names_;
};

int propose(const Files& files, const std::string& path) {
  const auto both = operator_file::read_both(files.config, files.operators);
  const Json::Value told = config::parse_json(path, operator_file::evaluate(path));
  std::vector<std::string> problems;
  const auto plan = migration::read_plan(told, problems);
  std::vector<config::Member> engines;
  for (const auto& event : both.config.known)
    engines.insert(engines.end(), event.members.begin(), event.members.end());
  if (plan) migration::check_against(*plan, both.config.fleet.movable_areas, engines, problems);
  if (!problems.empty()) {
    std::string all = path + ":";
    for (const auto& problem : problems) all += "\n  " + problem;
    std::cerr << all << std::endl;
    return 1;
  }
  Desk desk(both.config);
  if (!desk.put_new(migration::kPlanRequestPrefix + plan->name,
                    base::write_json(migration::to_json(*plan)))) {
    std::cerr << "another plan " << plan->name << " waits for an owner's answer" << std::endl;
    return 1;
  }
  std::cout << "proposed " << plan->name << "; see fleet status" << std::endl;
  return 0;
}

int wish(const Files& files, const std::string& name, const std::string& word) {
  const auto both = operator_file::read_both(files.config, files.operators);
  Desk desk(both.config);
  const auto record = desk.record();
  const bool known = std::any_of(record.plans.begin(), record.plans.end(),
                                 [&](const auto& running) { return running.plan.name == name; });
  if (!known) {
    std::cerr << "no plan " << name << " is under way" << std::endl;
    return 1;
  }
  if (!desk.put_new(migration::kControlRequestPrefix + name, word)) {
    std::cerr << "another wish for " << name << " waits for an owner's answer" << std::endl;
    return 1;
  }
  std::cout << "asked to " << word << " " << name << "; see fleet status" << std::endl;
  return 0;
}

int tell_status(const Files& files) {
  const auto both = operator_file::read_both(files.config, files.operators);
  Desk desk(both.config);
  std::map<std::string, coordination::MemberRecord> living;
  for (const auto& [session, text] : desk.all(desk.names().member()))
    living[session] = coordination::decode_member_record(text).value_or(coordination::MemberRecord{});
  std::cout << migration::status(desk.record(), living, migration::MigrationTask::kName,
                                 desk.all(desk.names().staff_requests()))
            << std::flush;
  return 0;
}

}  // namespace

void add_fleet(CLI::App& app, int& status) {
  auto* fleet = app.add_subcommand("fleet", "Staged migrations of areas between origins");
  fleet->require_subcommand(1);
  const auto files = std::make_shared<Files>();
  const auto word = std::make_shared<std::string>();
  const auto add = [&](const char* name, const char* about) {
    auto* command = fleet->add_subcommand(name, about);
    add_files(*command, *files);
    return command;
  };
  auto* proposes = add("propose", "Check a plan and ask the owner to begin it");
  proposes->add_option("FILE", *word, "The plan, in Jsonnet")->required();
  proposes->callback([=, &status] { status = propose(*files, *word); });
  add("status", "How far plans have come, and what is waited for")->callback([=, &status] {
    status = tell_status(*files);
  });
  for (const char* wanted : {"halt", "resume"}) {
    auto* command = add(wanted, "Ask the owner to halt a plan, or to go on with it");
    command->add_option("NAME", *word, "The plan's name")->required();
    command->callback([=, &status] { status = wish(*files, *word, wanted); });
  }
}

}  // namespace yokestream::cli

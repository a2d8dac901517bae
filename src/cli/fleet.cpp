// Commands `fleet propose`, `status`, `halt`, `resume`: requests of staff to the fleet's leader, through the
// store.
#include <iostream>
#include <memory>

#include "base/json.h"
#include "cli/commands.h"
#include "migration/migration_task.h"
#include "migration/status.h"
#include "net/clock.h"
#include "operator/operator_file.h"
#include "store/client.h"

namespace yokestream::cli {
namespace {

constexpr auto kCallTimeout = std::chrono::seconds(5);

// Access of one command to the store: tries every endpoint. Throws config::ConfigError where none replies.
class StaffClient {
 public:
  explicit StaffClient(const config::Config& config) : config_(config), keys_(config.fleet.key_prefix) {
    if (!config.fleet.enabled) throw config::ConfigError("fleet.on", "the fleet shares no store");
  }
  const coordination::StoreKeys& keys() const { return keys_; }

  store::Completed call(const store::Request& request) {
    std::string cause;
    for (const auto& address : config_.fleet.store_endpoints) {
      store::Client store_client({address}, 0, std::chrono::milliseconds(1));
      const auto reply = store_client.call(request, net::now() + kCallTimeout);
      if (const auto* completed = std::get_if<store::Completed>(&reply)) return *completed;
      const auto* failed = std::get_if<store::Failed>(&reply);
      cause =
          to_string(address) + ": " + (failed ? failed->cause : std::get<store::OutcomeUnknown>(reply).cause);
    }
    throw config::ConfigError("fleet.store", cause);
  }
  std::map<std::string, std::string> read_all(const std::string& prefix) {
    std::map<std::string, std::string> out;
    const auto completed = call(store::Range{prefix, store::prefix_range_end(prefix), 0});
    for (const auto& kv :
         completed.ranges.empty() ? std::vector<store::KeyValue>{} : completed.ranges[0].key_values)
      out[kv.key.substr(prefix.size())] = kv.value;
    return out;
  }
  // Idempotent: repeating a command whose reply was lost finds its request in the store, until the leader has
  // answered it. False: another request of this name is pending.
  bool submit_request(const std::string& request_name, const std::string& text) {
    const std::string key = keys_.operator_requests() + request_name;
    const auto completed = call(store::Txn{{{store::Compare::Target::create_revision, key, 0, {}}},
                                           {store::Put{key, text, store::LeaseId::none}},
                                           {store::Range{key, {}, 0}}});
    return completed.succeeded || (!completed.ranges.empty() && !completed.ranges[0].key_values.empty() &&
                                   completed.ranges[0].key_values[0].value == text);
  }
  migration::MigrationRecord record() {
    const std::string key = keys_.task_state(migration::MigrationTask::kName);
    const auto completed = call(store::Range{key, {}, 0});
    if (completed.ranges.empty() || completed.ranges[0].key_values.empty()) return {};
    auto record = migration::decode_record(completed.ranges[0].key_values[0].value);
    if (!record) throw config::ConfigError(key, "it can't be read");
    return *record;
  }

 private:
  const config::Config& config_;
  const coordination::StoreKeys keys_;
};

int propose(const Files& files, const std::string& path) {
  const auto loaded = operator_file::read_both(files.config, files.operators);
  const Json::Value value = config::parse_json(path, operator_file::evaluate(path));
  std::vector<std::string> problems;
  const auto plan = migration::read_plan(value, problems);
  std::vector<config::Member> engines;
  for (const auto& event : loaded.config.known)
    engines.insert(engines.end(), event.members.begin(), event.members.end());
  if (plan)
    migration::check_against_installation(*plan, loaded.config.fleet.movable_areas, engines, problems);
  if (!problems.empty()) {
    std::string message = path + ":";
    for (const auto& problem : problems) message += "\n  " + problem;
    std::cerr << message << std::endl;
    return 1;
  }
  StaffClient client(loaded.config);
  if (!client.submit_request(migration::kPlanRequestPrefix + plan->name,
                             base::write_json(migration::to_json(*plan)))) {
    std::cerr << "another plan " << plan->name << " waits for an owner's answer" << std::endl;
    return 1;
  }
  std::cout << "proposed " << plan->name << "; see fleet status" << std::endl;
  return 0;
}

int request_control(const Files& files, const std::string& name, const std::string& argument) {
  const auto loaded = operator_file::read_both(files.config, files.operators);
  StaffClient client(loaded.config);
  const auto record = client.record();
  const bool known = std::any_of(record.plans.begin(), record.plans.end(),
                                 [&](const auto& progress) { return progress.plan.name == name; });
  if (!known) {
    std::cerr << "no plan " << name << " is under way" << std::endl;
    return 1;
  }
  if (!client.submit_request(migration::kControlRequestPrefix + name, argument)) {
    std::cerr << "another wish for " << name << " waits for an owner's answer" << std::endl;
    return 1;
  }
  std::cout << "asked to " << argument << " " << name << "; see fleet status" << std::endl;
  return 0;
}

int print_status(const Files& files) {
  const auto loaded = operator_file::read_both(files.config, files.operators);
  StaffClient client(loaded.config);
  std::map<std::string, coordination::MemberRecord> live_members;
  for (const auto& [session, text] : client.read_all(client.keys().member()))
    live_members[session] = coordination::decode_member_record(text).value_or(coordination::MemberRecord{});
  std::cout << migration::format_status(client.record(), live_members, migration::MigrationTask::kName,
                                        client.read_all(client.keys().operator_requests()))
            << std::flush;
  return 0;
}

}  // namespace

void add_fleet(CLI::App& app, int& status) {
  auto* fleet = app.add_subcommand("fleet", "Staged migrations of areas between origins");
  fleet->require_subcommand(1);
  const auto files = std::make_shared<Files>();
  const auto argument = std::make_shared<std::string>();
  const auto add = [&](const char* name, const char* description) {
    auto* command = fleet->add_subcommand(name, description);
    add_files(*command, *files);
    return command;
  };
  auto* propose_command = add("propose", "Check a plan and ask the owner to begin it");
  propose_command->add_option("FILE", *argument, "The plan, in Jsonnet")->required();
  propose_command->callback([=, &status] { status = propose(*files, *argument); });
  add("status", "How far plans have come, and what is waited for")->callback([=, &status] {
    status = print_status(*files);
  });
  for (const char* control_word : {"halt", "resume"}) {
    auto* command = add(control_word, "Ask the owner to halt a plan, or to go on with it");
    command->add_option("NAME", *argument, "The plan's name")->required();
    command->callback([=, &status] { status = request_control(*files, *argument, control_word); });
  }
}

}  // namespace yokestream::cli

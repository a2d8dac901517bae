// What goes over wires and what is stored, by fixed values.
#include <fstream>
#include <iterator>

#include "base/json.h"
#include "coordination/load_shares.h"
#include "line_hash.h"
#include "metrics/metrics.h"
#include "migration/record.h"
#include "protocol/management_call.h"
#include "protocol/msgpack_rpc.h"
#include "protocol/resp.h"
#include "protocol/sse.h"
#include "snapshot/learned_state_codec.h"
#include "standin/trace.h"

namespace yokestream::golden {
namespace {

using policy::Duration;
using policy::InterferenceWeights;
using policy::LearnedState;
using policy::Time;
using std::chrono::milliseconds;

constexpr Time kStoredAt{std::chrono::seconds(5000)};
constexpr Duration kAge = std::chrono::seconds(3);

config::RealSettings names() {
  config::RealSettings out;
  out.classes = {"look", "load"};
  out.kinds = {"small", "large"};
  return out;
}

LearnedState learned_value() {
  LearnedState value;
  value.pool = {1.5, 6.25, 0.125, 2, 3, 4, 1.5, 256, 8};
  value.classes.resize(2);
  value.classes[0] = {1.25, 0.5, 100, 0.25, 90, -0.5, 0.75, -1, 12, 1.5, 1.25};
  value.classes[1] = {2, 1, 3, 1.5, 2, 0.5, 1, 0.25, 0, 1, 1};
  const InterferenceWeights weights{{0.5, 0.25}, {0.125, 0}};
  value.kinds = {weights, {{0, 0}, {0, 0}}};
  value.engines.push_back({{"engine-a"}, std::nullopt, {weights, {1, 2}, 0.25, 4, 0.125, false}});
  value.engines.push_back({{"engine-b"}, Time(milliseconds(1234)), {weights, {3, 4}, -0.5, 0, 0.5, true}});
  return value;
}

coordination::MemberRecord fact() {
  return {"node-1", "0.1.0", 12.5, {{"shares", 7}, {"migration", 2}}, {{"south", {1, 2, 3}}}};
}

coordination::LoadShareTable table() {
  return {9, 41, {{"00000000000000a1", 500000000}, {"00000000000000a2", 250000000}}};
}

migration::MigrationRecord record() {
  migration::Plan plan;
  plan.name = "south";
  plan.origins["old"].zones = {"a"};
  plan.origins["new"].zones = {"b"};
  plan.moves = {{migration::TableGroupId{1}, "old", "new", {}},
                {migration::TableGroupId{2}, "old", "new", {migration::TableGroupId{1}}}};
  plan.stages = {{0.5, 0.25, std::chrono::seconds(30)}, {1, 1, std::chrono::seconds(60)}};
  plan.gate.emplace();
  migration::MigrationRecord out;
  out.epoch = 4;
  out.fencing_token = 17;
  out.roster = {{"00000000000000a1", "node-1"}};
  out.homes[migration::TableGroupId{3}] = {"new", plan.origins["new"]};
  out.plans = {{plan, {2, 0}, false, true, "the gate failed"}};
  out.outcomes = {{"north", "done"}};
  return out;
}

std::string telemetry() {
  metrics::Metrics metrics({"look", "load"});
  metrics.count_request(0, metrics::RequestOutcome::served);
  metrics.count_request(1, metrics::RequestOutcome::rejected);
  metrics.count_request(1, metrics::RequestOutcome::failed);
  metrics.count_attempt();
  metrics.set_in_flight(3);
  metrics.set_engines(5, 2);
  return protocol::encode_success(metrics.text() + "EOT\n");
}

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}
void write_file(const std::string& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary) << bytes;
}

const char* const kLearned = "/learned_state.bin";
const char* const kFact = "/process_fact.json";
const char* const kTable = "/load_shares.json";
const char* const kRecord = "/migration_record.json";
const char* const kTelemetry = "/admin_telemetry.txt";

EngineRequest engine_request() {
  EngineRequest request;
  request.id = "00000000000000ff";
  request.query_class = "look";
  request.deadline = kStoredAt + milliseconds(1500);
  request.priority = 2;
  request.statement = "select 1";
  return request;
}

std::string describe_answers(const std::string& bytes) {
  protocol::RespReader reader({"queue", "inflight", "x0"});
  reader.feed(bytes);
  std::string out;
  while (const auto answer = reader.next())
    out += standin::describe(
               dispatch::Event(dispatch::ResponseReceived{dispatch::EngineConnectionId{1}, *answer})) +
           "; ";
  return out;
}

std::string bulk(const std::vector<std::string>& parts) {
  std::string out = "*" + std::to_string(parts.size()) + "\r\n";
  for (const auto& part : parts) out += "$" + std::to_string(part.size()) + "\r\n" + part + "\r\n";
  return out;
}

}  // namespace

std::vector<Golden> wire_bytes() {
  LineHash clients, engines, operators, stored;
  clients.add(protocol::encode_result(7, "a\tb\tc\n", {{"rows", "1"}}));
  clients.add(protocol::encode_error(8, "Late", {{"holdoff", "250"}}));
  clients.add(protocol::encode_probe_answer(9, true));
  clients.add(protocol::encode_probe_answer(9, false));
  engines.add(protocol::encode_request(engine_request(), kStoredAt));
  engines.add(protocol::encode_stop("id"));
  engines.add(protocol::encode_hello("tag"));
  engines.add(protocol::encode_nice("id", 3));
  engines.add(protocol::encode_fetch("id", 2));
  engines.add(protocol::encode_end("id"));
  engines.add(describe_answers(bulk({"stop-1", "green"})));
  engines.add(describe_answers(bulk({"a", "overload"}) + bulk({"a", "nobody"}) + bulk({"a", "crashed"})));
  engines.add(describe_answers(bulk({"a", "update", "remark=progress,datum=0.25"})));
  engines.add(describe_answers(
      bulk({"a", "served", "total=3,elapsed=12.5,rss=96,report=queue:2;inflight:7;x0:0.5", "a\tb\tc\n"})));
  engines.add(describe_answers(bulk({"a", "rows", "index=2", "a\tb\tc\n"})));
  operators.add(protocol::encode_subscription("127.0.0.1:80", "/feed", 12));
  operators.add(protocol::encode_failure("not ready yet"));
  operators.add(telemetry());
  stored.add(snapshot::encode(learned_value(), names(), kStoredAt));
  stored.add(coordination::encode(fact()));
  stored.add(coordination::encode(table()));
  stored.add(migration::encode(record()));
  return {clients.result("wire-clients"), engines.result("wire-engines"), operators.result("wire-operators"),
          stored.result("stored")};
}

void write_stored(const std::string& folder) {
  write_file(folder + kLearned, snapshot::encode(learned_value(), names(), kStoredAt));
  write_file(folder + kFact, coordination::encode(fact()));
  write_file(folder + kTable, coordination::encode(table()));
  write_file(folder + kRecord, migration::encode(record()));
  write_file(folder + kTelemetry, telemetry());
}

std::vector<std::string> check_stored(const std::string& folder) {
  std::vector<std::string> problems;
  const auto need = [&](bool good, const char* file) {
    if (!good) problems.push_back(std::string("not read as it was written: ") + (file + 1));
  };
  const auto bytes = read_file(folder + kLearned);
  const auto learned = snapshot::decode(bytes, names(), kStoredAt + kAge);
  const auto* inherited = std::get_if<snapshot::RestoredState>(&learned);
  need(inherited && inherited->age == kAge && inherited->state == learned_value() &&
           snapshot::encode(inherited->state, names(), kStoredAt) == bytes,
       kLearned);
  const auto fact_text = read_file(folder + kFact);
  const auto old_fact = coordination::decode_member_record(fact_text);
  need(old_fact && *old_fact == fact() && coordination::encode(*old_fact) == fact_text, kFact);
  const auto table_text = read_file(folder + kTable);
  const auto old_table = coordination::decode_load_share_table(table_text);
  need(old_table && *old_table == table() && coordination::encode(*old_table) == table_text, kTable);
  const auto record_text = read_file(folder + kRecord);
  const auto old_record = migration::decode_record(record_text);
  need(old_record && *old_record == record() && migration::encode(*old_record) == record_text, kRecord);
  need(read_file(folder + kTelemetry) == telemetry(), kTelemetry);
  return problems;
}

}  // namespace yokestream::golden

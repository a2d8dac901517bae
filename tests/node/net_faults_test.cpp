// Injects the failures of system calls that Linux documents, from fixed seeds, and file errors at every call
// and byte. Checks what clients and engines observe and what a reader of the file finds.
#include <doctest/doctest.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

#include "net_fake_engine.h"
#include "net_session_fixture.h"
#include "upgrade/snapshot_handover.h"

namespace yokestream::test {
namespace {

// Resets all injected faults at the end of a test, so the next one starts with a working system.
struct FaultInjectionScope {
  FaultInjectionScope() { exempt_from_faults = true; }  // the test thread itself
  ~FaultInjectionScope() {
    transient_failure_percent = 0, connection_break_percent = 0, broken_connections_port = 0;
    interrupt_polls = false;
    connect_failures.remaining = 0;
    file_failures.first_failing_call = 0, file_failures.bytes_left = -1;
    exempt_from_faults = false;
  }
};

std::string request_id(std::uint32_t seed, std::uint32_t number) {
  char id[17];
  std::snprintf(id, sizeof id, "%08x%08x", seed, number);
  return id;
}

// Runs several clients that send requests and read responses in random order. Checks that each request gets
// one response and that the engine sees it at most four times.
void run_requests(std::uint32_t seed, FakeEngine& engine, RunningServer& running) {
  SeededRandom steps(seed);
  std::vector<std::unique_ptr<TestClient>> clients;
  for (int i = 0; i < 6; ++i) clients.push_back(std::make_unique<TestClient>(running.server->endpoint()));
  std::uint32_t sent_count = 0;
  for (int i = 0; i < 300; ++i) {
    TestClient& client = *clients[steps.below(clients.size())];
    if (client.open_calls.size() < 6 && steps.below(3) > 0 && client.last_call < 100) {
      client.query_class = steps.below(4) == 0 ? "load" : "look";
      client.send_request(request_id(seed, ++sent_count), steps.below(3000));
    } else if (!client.open_calls.empty()) {
      REQUIRE(client.receive_response());
    }
  }
  for (const auto& client : clients) {
    while (!client->open_calls.empty()) REQUIRE(client->receive_response());
  }
  for (std::uint32_t number = 1; number <= sent_count; ++number)
    REQUIRE(engine.request_log().with_id_prefix(request_id(seed, number)).size() <= 4);
}

TEST_CASE_FIXTURE(FaultInjectionScope,
                  "transient failures of system calls lose no response and no client connection") {
  for (std::uint32_t seed = 1; seed <= 6; ++seed) {
    CAPTURE(seed);
    FakeEngine engine(seed);
    RunningServer running(engine.endpoint());
    const long before = injected_failure_count;
    transient_failure_percent = 10 * (1 + seed % 3);
    run_requests(seed, engine, running);
    transient_failure_percent = 0;
    CHECK(injected_failure_count > before + 50);
    // No client was closed while it had open requests.
    CHECK(running.log.count("requests open") == 0);
    CHECK(running.log.count("open_requests=") == 0);
  }
}

TEST_CASE_FIXTURE(FaultInjectionScope,
                  "engine connections that break by a timeout or an unreachable host lose no response") {
  for (std::uint32_t seed = 11; seed <= 12; ++seed) {
    CAPTURE(seed);
    FakeEngine engine(seed, true);
    RunningServer running(engine.endpoint());
    broken_connections_port = engine.endpoint().port;
    connection_break_percent = 20;
    run_requests(seed, engine, running);
    connection_break_percent = 0;
  }
}

// Guards against counting a local shortage as a failure of the engine: the attempts were used up, the engine
// was rated as failing, and the request was rejected.
TEST_CASE_FIXTURE(
    FaultInjectionScope,
    "a transient lack of ports, routes or buffers costs no attempt and is not held against the engine") {
  for (const int error : {EADDRNOTAVAIL, ENETUNREACH, EAGAIN, ENOBUFS}) {
    CAPTURE(error);
    FakeEngine engine(1, true);
    RunningServer running(engine.endpoint());
    connect_failures.error = error;
    connect_failures.remaining = 12;
    TestClient client(running.server->endpoint());
    client.send_request(request_id(1, 1), 10);
    REQUIRE(client.receive_response());
    CHECK(client.last_served);
    CHECK(connect_failures.remaining <= 0);
    CHECK(engine.request_count() == 1);
    connect_failures.remaining = 0;
  }
}

TEST_CASE_FIXTURE(FaultInjectionScope,
                  "an interrupted connect continues by itself and is not started again") {
  TestListener engine;
  RunningServer running(engine.endpoint);
  connect_failures.error = EINTR;
  connect_failures.remaining = 1;
  TestClient client(running.server->endpoint());
  client.send_request(request_id(1, 1), 10);
  TestPeer link = engine.accept();
  CHECK(link.read_until(request_id(1, 1)));  // on the first connection
  CHECK(connect_failures.remaining <= 0);
}

// Guards against accepting clients before the gate is open: another process was still serving on the socket,
// and this one took over its clients before it had reported ready.
TEST_CASE_FIXTURE(
    FaultInjectionScope,
    "an interrupted wait does not count as an open gate, and no client is accepted before the gate opens") {
  SessionFixture fixture(0);
  dispatch::Budget slots(10);
  net::AcceptGate gate;
  interrupt_polls = true;
  net::Listener listener(fixture.config, gate, slots, fixture.budget, fixture.event_queue,
                         fixture.reader_pool, fixture.log);
  TestPeer client(listener.endpoint());
  const long initial_count = interrupted_poll_count;
  while (interrupted_poll_count < initial_count + 1000) std::this_thread::yield();
  CHECK(fixture.event_queue.drain_until(net::now()).empty());
  interrupt_polls = false;
  gate.open();
  const auto events = fixture.event_queue.drain_until(Time::max());
  REQUIRE(events.size() == 1);
  CHECK(std::holds_alternative<net::ClientAccepted>(events[0]));
  fixture.event_queue.close();
}

// ---- the file that passes the learned state on to the next process

struct HandoverFixture : FaultInjectionScope, config::RealSettings, dispatch::Log {
  HandoverFixture() {
    classes = {"look", "load"}, kinds = {"m"};
    REQUIRE(::mkdtemp(path.data()));
    write(1);
    const auto first = read();
    REQUIRE(first.has_value());
    size = std::filesystem::file_size(path + "/yokestream-learnt");
  }
  ~HandoverFixture() override { std::filesystem::remove_all(path); }
  void write(std::string_view line) override { log_lines.emplace_back(line); }
  static policy::LearnedState state_with(double n) {
    policy::LearnedState state;
    state.pool.observed_own_queries = n, state.pool.observed_all_queries = n, state.pool.mean_work_s = n;
    state.classes.resize(2);
    state.kinds = {{{n, n}, {n, n}}};
    return state;
  }
  // Returns once the file is written, or the write has failed.
  void write(double n) {
    upgrade::SnapshotHandover out(path, 0, *this);
    out.write_now(state_with(n));
  }
  std::optional<snapshot::RestoredState> read() {
    return upgrade::SnapshotHandover::load(path, *this, *this);
  }
  double stored_value() {
    const auto restored = read();
    REQUIRE(restored.has_value());
    return restored->state.pool.mean_work_s;
  }
  std::string path = (std::filesystem::temp_directory_path() / "yokestream-XXXXXX").string();
  std::vector<std::string> log_lines;
  std::size_t size = 0;
};

TEST_CASE_FIXTURE(HandoverFixture,
                  "a write that fails at any call leaves either the old or the new state, complete") {
  for (const int error : {ENOSPC, EIO}) {
    for (long call = 1; call <= 4; ++call) {  // write, sync, rename, sync of the folder
      CAPTURE(call);
      write(1);
      file_failures.calls = 0, file_failures.error = error, file_failures.first_failing_call = call;
      write(2);
      file_failures.first_failing_call = 0;
      CHECK(stored_value() == (call <= 3 ? 1 : 2));
      write(3);  // the file system works again
      CHECK(stored_value() == 3);
    }
  }
  CHECK(log_lines.empty());
}

TEST_CASE_FIXTURE(HandoverFixture,
                  "a file system that is full after any byte leaves the old state and no temporary file") {
  for (std::size_t bytes = 0; bytes < size; ++bytes) {
    file_failures.bytes_left = static_cast<long>(bytes);
    write(2);
    file_failures.bytes_left = -1;
    REQUIRE(stored_value() == 1);
    const auto files = std::distance(std::filesystem::directory_iterator(path), {});
    REQUIRE(files == 1);
  }
}

// A process that is killed during a write leaves a truncated temporary file.
TEST_CASE_FIXTURE(HandoverFixture,
                  "a file truncated at any byte is ignored as temporary file and rejected as snapshot") {
  std::string complete_file(size, '\0');
  std::ifstream(path + "/yokestream-learnt", std::ios::binary)
      .read(complete_file.data(), static_cast<long>(size));
  for (std::size_t bytes = 0; bytes < size; ++bytes) {
    std::ofstream(path + "/yokestream-learnt-0", std::ios::binary) << complete_file.substr(0, bytes);
    REQUIRE(stored_value() == 1);  // as temporary file: the complete snapshot is read
    std::ofstream(path + "/yokestream-learnt", std::ios::binary) << complete_file.substr(0, bytes);
    REQUIRE_FALSE(read().has_value());  // as snapshot, as after a crash of the machine
    std::ofstream(path + "/yokestream-learnt", std::ios::binary) << complete_file;
  }
}

}  // namespace
}  // namespace yokestream::test

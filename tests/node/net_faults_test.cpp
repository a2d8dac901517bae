// System calls that fail as Linux documents, from fixed seeds, and files that fail at every call and byte.
// What counts is what clients and engines saw, and what a reader of the file finds.
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

// Whatever a test does, the next one finds a system that works.
struct Failing {
  Failing() { exempt_from_faults = true; }  // the test's own calls
  ~Failing() {
    transient_failure_percent = 0, connection_break_percent = 0, broken_connections_port = 0;
    interrupt_polls = false;
    connect_failures.remaining = 0;
    file_failures.first_failing_call = 0, file_failures.bytes_left = -1;
    exempt_from_faults = false;
  }
};

std::string id_of(std::uint32_t seed, std::uint32_t number) {
  char id[17];
  std::snprintf(id, sizeof id, "%08x%08x", seed, number);
  return id;
}

// Some clients that ask and listen in turns; each hears one answer to each request, and no engine sees one
// more than four times.
void ask_through(std::uint32_t seed, FakeEngine& engine, RunningServer& running) {
  SeededRandom steps(seed);
  std::vector<std::unique_ptr<TestClient>> clients;
  for (int i = 0; i < 6; ++i) clients.push_back(std::make_unique<TestClient>(running.server->endpoint()));
  std::uint32_t asked = 0;
  for (int i = 0; i < 300; ++i) {
    TestClient& client = *clients[steps.below(clients.size())];
    if (client.open_calls.size() < 6 && steps.below(3) > 0 && client.last_call < 100) {
      client.query_class = steps.below(4) == 0 ? "load" : "look";
      client.send_request(id_of(seed, ++asked), steps.below(3000));
    } else if (!client.open_calls.empty()) {
      REQUIRE(client.receive_response());
    }
  }
  for (const auto& client : clients) {
    while (!client->open_calls.empty()) REQUIRE(client->receive_response());
  }
  for (std::uint32_t number = 1; number <= asked; ++number)
    REQUIRE(engine.request_log().with_id_prefix(id_of(seed, number)).size() <= 4);
}

TEST_CASE_FIXTURE(Failing, "calls that fail for a moment lose no answer and no connection") {
  for (std::uint32_t seed = 1; seed <= 6; ++seed) {
    CAPTURE(seed);
    FakeEngine engine(seed);
    RunningServer running(engine.endpoint());
    const long before = injected_failure_count;
    transient_failure_percent = 10 * (1 + seed % 3);
    ask_through(seed, engine, running);
    transient_failure_percent = 0;
    CHECK(injected_failure_count > before + 50);
    // No client was closed upon what it had open.
    CHECK(running.log.count("requests open") == 0);
    CHECK(running.log.count("open_requests=") == 0);
  }
}

TEST_CASE_FIXTURE(Failing,
                  "connections to engines that break by time-out or an unreachable host lose no answer") {
  for (std::uint32_t seed = 11; seed <= 12; ++seed) {
    CAPTURE(seed);
    FakeEngine engine(seed, true);
    RunningServer running(engine.endpoint());
    broken_connections_port = engine.endpoint().port;
    connection_break_percent = 20;
    ask_through(seed, engine, running);
    connection_break_percent = 0;
  }
}

// Its attempts were used up, the engine was taken for a bad one, and the request was refused.
TEST_CASE_FIXTURE(Failing,
                  "a lack of ports, routes or buffers for a moment costs no attempt and no good name") {
  for (const int error : {EADDRNOTAVAIL, ENETUNREACH, EAGAIN, ENOBUFS}) {
    CAPTURE(error);
    FakeEngine engine(1, true);
    RunningServer running(engine.endpoint());
    connect_failures.error = error;
    connect_failures.remaining = 12;
    TestClient client(running.server->endpoint());
    client.send_request(id_of(1, 1), 10);
    REQUIRE(client.receive_response());
    CHECK(client.last_served);
    CHECK(connect_failures.remaining <= 0);
    CHECK(engine.request_count() == 1);
    connect_failures.remaining = 0;
  }
}

TEST_CASE_FIXTURE(Failing, "a connect that is interrupted goes on by itself, and is not begun again") {
  TestListener engine;
  RunningServer running(engine.endpoint);
  connect_failures.error = EINTR;
  connect_failures.remaining = 1;
  TestClient client(running.server->endpoint());
  client.send_request(id_of(1, 1), 10);
  TestPeer link = engine.accept();
  CHECK(link.read_until(id_of(1, 1)));  // on the first connection that came
  CHECK(connect_failures.remaining <= 0);
}

// Another process served there, and this one took its clients before its yes.
TEST_CASE_FIXTURE(Failing, "a wait that is interrupted is no opened gate: nobody is accepted before") {
  SessionFixture fixture(0);
  dispatch::Budget slots(10);
  net::AcceptGate gate;
  interrupt_polls = true;
  net::Listener listener(fixture.config, gate, slots, fixture.budget, fixture.event_queue,
                         fixture.reader_pool, fixture.log);
  TestPeer client(listener.endpoint());
  const long cut = interrupted_poll_count;
  while (interrupted_poll_count < cut + 1000) std::this_thread::yield();
  CHECK(fixture.event_queue.drain_until(net::now()).empty());
  interrupt_polls = false;
  gate.open();
  const auto told = fixture.event_queue.drain_until(Time::max());
  REQUIRE(told.size() == 1);
  CHECK(std::holds_alternative<net::ClientAccepted>(told[0]));
  fixture.event_queue.close();
}

// ---- the file by which a process hands on what it has learnt

struct HandingOver : Failing, config::RealSettings, dispatch::Log {
  HandingOver() {
    classes = {"look", "load"}, kinds = {"m"};
    REQUIRE(::mkdtemp(path.data()));
    write(1);
    const auto first = read();
    REQUIRE(first.has_value());
    size = std::filesystem::file_size(path + "/yokestream-learnt");
  }
  ~HandingOver() override { std::filesystem::remove_all(path); }
  void write(std::string_view line) override { notes.emplace_back(line); }
  static policy::LearnedState value(double n) {
    policy::LearnedState l;
    l.pool.observed_own_queries = n, l.pool.observed_all_queries = n, l.pool.mean_work_s = n;
    l.classes.resize(2);
    l.kinds = {{{n, n}, {n, n}}};
    return l;
  }
  // On the caller's thread, to its end.
  void write(double n) {
    upgrade::SnapshotHandover out(path, 0, *this);
    out.write_now(value(n));
  }
  std::optional<snapshot::RestoredState> read() {
    return upgrade::SnapshotHandover::load(path, *this, *this);
  }
  double held() {
    const auto got = read();
    REQUIRE(got.has_value());
    return got->state.pool.mean_work_s;
  }
  std::string path = (std::filesystem::temp_directory_path() / "yokestream-XXXXXX").string();
  std::vector<std::string> notes;
  std::size_t size = 0;
};

TEST_CASE_FIXTURE(HandingOver, "a write that fails at any call leaves the old value or the new one, whole") {
  for (const int error : {ENOSPC, EIO}) {
    for (long call = 1; call <= 4; ++call) {  // write, sync, rename, sync of the folder
      CAPTURE(call);
      write(1);
      file_failures.calls = 0, file_failures.error = error, file_failures.first_failing_call = call;
      write(2);
      file_failures.first_failing_call = 0;
      CHECK(held() == (call <= 3 ? 1 : 2));
      write(3);  // the trouble has passed
      CHECK(held() == 3);
    }
  }
  CHECK(notes.empty());
}

TEST_CASE_FIXTURE(HandingOver,
                  "a file system that is full after any byte leaves the old value, and no rest") {
  for (std::size_t bytes = 0; bytes < size; ++bytes) {
    file_failures.bytes_left = static_cast<long>(bytes);
    write(2);
    file_failures.bytes_left = -1;
    REQUIRE(held() == 1);
    const auto files = std::distance(std::filesystem::directory_iterator(path), {});
    REQUIRE(files == 1);
  }
}

// A process that is killed in the middle of its write leaves its own file so.
TEST_CASE_FIXTURE(HandingOver,
                  "a file that a kill left half written at any byte is read as nothing, or not at all") {
  std::string whole(size, '\0');
  std::ifstream(path + "/yokestream-learnt", std::ios::binary).read(whole.data(), static_cast<long>(size));
  for (std::size_t bytes = 0; bytes < size; ++bytes) {
    std::ofstream(path + "/yokestream-learnt-0", std::ios::binary) << whole.substr(0, bytes);
    REQUIRE(held() == 1);  // beside the whole one it counts for nothing
    std::ofstream(path + "/yokestream-learnt", std::ios::binary) << whole.substr(0, bytes);
    REQUIRE_FALSE(read().has_value());  // in its place, as after a crash of the machine
    std::ofstream(path + "/yokestream-learnt", std::ios::binary) << whole;
  }
}

}  // namespace
}  // namespace yokestream::test

// Tests of net::ArrivalClock, and of the deadlines that sessions derive from it.
#include <doctest/doctest.h>

#include "net/arrival_clock.h"
#include "net_session_fixture.h"

namespace yokestream::test {
namespace {

constexpr int kUnhandledMessageLimit = 16;  // of one client
constexpr Duration kRequestTimeout = 4s;    // as encode_request() writes it

TEST_CASE("bytes count from the beginning of a pause until a read finds nothing, and from then on anew") {
  net::ArrivalClock clock;
  const Time start{Duration(100s)};
  clock.on_bytes_read(start);
  CHECK(clock.arrived_at() == start);
  clock.on_pause(start + 1s);
  clock.on_pause(start + 2s);  // the pause goes on
  clock.on_bytes_read(start + 3s);
  CHECK(clock.arrived_at() == start + 1s);
  CHECK(clock.may_have_backlog());
  clock.on_nothing_unread();
  CHECK_FALSE(clock.may_have_backlog());
  clock.on_bytes_read(start + 4s);
  CHECK(clock.arrived_at() == start + 4s);
}

// Guards against requests that fail as late, and pieces that are taken for timed out, because a busy client's
// arrival times stay at its last burst (review/1, docs/incidents/stale-arrival-time.md).
TEST_CASE(
    "after a burst that used up its credits, a busy client's deadlines count from their arrival again") {
  SessionFixture fixture(1);
  SocketPair pair;
  const auto session = fixture.session(Fd(::dup(pair.socket.descriptor())));
  for (const dispatch::CallId call : {1, 2}) session->send_result(call, {"row", {}});  // a busy client
  const int burst_size = kUnhandledMessageLimit + 1;
  std::string burst;
  for (int number = 1; number <= burst_size; ++number)
    burst += encode_request(number, std::to_string(1000000000000000 + number), "select 1");
  pair.peer.send(burst);
  char first = 0;
  REQUIRE(::recv(pair.socket.descriptor(), &first, 1, MSG_PEEK) == 1);
  REQUIRE((session->on_ready(net::now(), true) == net::Pollable::PollResult::handed_over));
  const auto next_request = [&] {
    auto events = fixture.event_queue.drain_until(Time::max());
    REQUIRE(events.size() >= 1);
    for (std::size_t i = 0; i < events.size(); ++i) session->release_message_credit();
    return std::make_pair(static_cast<int>(events.size()),
                          std::get<dispatch::RequestReceived>(std::get<dispatch::Event>(events.back())));
  };
  for (int handled = 0; handled < burst_size;) handled += next_request().first;
  // The reader thread may read a request before it has found that the backlog has ended, but not each time.
  bool counts_from_arrival = false;
  for (int number = burst_size + 1; number < 100 && !counts_from_arrival; ++number) {
    const Time sent_at = net::now();
    pair.peer.send(encode_request(number, std::to_string(1000000000000000 + number), "select 1"));
    counts_from_arrival = next_request().second.deadline >= sent_at + kRequestTimeout;
  }
  CHECK(counts_from_arrival);
  session->abort("end of the test");
}

}  // namespace
}  // namespace yokestream::test

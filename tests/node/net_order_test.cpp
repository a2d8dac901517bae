// The order in which a client's bytes, its cancellations and what ends its connection take effect. The client
// is read only when the test says so.
#include <doctest/doctest.h>

#include "net_session_fixture.h"

namespace yokestream::test {
namespace {

// A request whose statement is told to be `missing` bytes shorter than it is.
std::string encode_too_short_request(int number, const std::string& id, const std::string& statement,
                                     int missing) {
  std::string bytes = encode_request(number, id, statement);
  bytes[bytes.size() - statement.size() - 1] = static_cast<char>(statement.size() - missing);
  return bytes;
}

// Guards against running a part of a statement: its told length is too short, and what is left of it is
// malformed (review/10, docs/incidents/wrong-length.md).
TEST_CASE_FIXTURE(PausedClient, "a request with malformed bytes behind it fails and is not dispatched" *
                                    doctest::timeout(kTestTimeoutS)) {
  client->send(encode_request(1, "0123456789abcde1", "select 1") + encode_probe(2) +
               encode_too_short_request(3, "0123456789abcde3", "delete from t where id = 77", 14));
  wait_for_bytes(descriptor);
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_until_due));
  const auto events = fixture.event_queue.drain_until(net::now());
  REQUIRE(events.size() == 1);
  CHECK(std::holds_alternative<dispatch::SessionStalled>(std::get<dispatch::Event>(events[0])));
  for (const char number : {1, 2, 3})
    CHECK(client->read_until(std::string("\x94\x01") + number + "\x92\xa5" + "Fault", net::now() + 10s));
}

// Guards against posting a long request before the malformed bytes behind it are read: they lie beyond what
// one call reads at once.
TEST_CASE_FIXTURE(PausedClient, "a request of many reads with malformed bytes behind it is not dispatched" *
                                    doctest::timeout(kTestTimeoutS)) {
  const std::string bytes = encode_long_request(1, "0123456789abcde1", std::string(40'000, 'x')) + "\x05";
  client->send(bytes);
  wait_for_unread(descriptor, bytes.size());
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_until_due));
  const auto events = fixture.event_queue.drain_until(net::now());
  REQUIRE(events.size() == 1);
  CHECK(std::holds_alternative<dispatch::SessionStalled>(std::get<dispatch::Event>(events[0])));
}

// Guards against losing a cancellation that was read together with malformed bytes.
TEST_CASE_FIXTURE(PausedClient, "a cancellation with malformed bytes behind it takes effect" *
                                    doctest::timeout(kTestTimeoutS)) {
  client->send(encode_request(1, "0123456789abcde1", "select 1"));
  wait_for_bytes(descriptor);
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_readable));
  CHECK(drain_event_count() == 1);
  client->send(encode_cancel(1) + "\x05");
  wait_for_bytes(descriptor);
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_until_due));
  const auto events = fixture.event_queue.drain_until(net::now());
  REQUIRE(events.size() == 2);
  CHECK(std::holds_alternative<dispatch::RequestCancelled>(std::get<dispatch::Event>(events[0])));
  CHECK(std::holds_alternative<dispatch::SessionStalled>(std::get<dispatch::Event>(events[1])));
}

// Guards against running what was taken back long ago: cancellations waited behind requests that were only
// read when the client's rate permitted it (review/9, docs/incidents/late-cancellation.md).
TEST_CASE_FIXTURE(PausedClient, "hundreds of requests that are cancelled at once are all over within 100 ms" *
                                    doctest::timeout(kTestTimeoutS)) {
  constexpr int kRequests = 100;
  std::string bytes;
  for (int number = 1; number <= kRequests; ++number)
    bytes += encode_request(number, std::to_string(1000000000000000 + number), std::string(200, 'x'));
  for (int number = 1; number <= kRequests; ++number) bytes += encode_cancel(number);
  client->send(bytes);
  wait_for_unread(descriptor, bytes.size());
  BriefDispatcher dispatcher;
  const Time start = net::now();
  for (Time time = start; time < start + 100ms; time += 10ms) {
    session->on_ready(time, true);
    dispatcher.handle_events(*this);
  }
  CHECK(dispatcher.open.empty());
  const int received = dispatcher.received;
  session->send_result(1000, {"row", {}});  // from now on the client's rate is not limited
  for (Time time = start + 100ms; time < start + 3s; time += 10ms) {
    session->on_ready(time, false);
    dispatcher.handle_events(*this);
  }
  CHECK(dispatcher.received == received);
}

// Guards against cancellations that cost the dispatcher as much as requests.
TEST_CASE_FIXTURE(PausedClient,
                  "a cancellation is posted before queued requests, and only if its call is open" *
                      doctest::timeout(kTestTimeoutS)) {
  std::string bytes;
  for (int number = 1; number <= 20; ++number)  // more than a client has credits
    bytes += encode_request(number, std::to_string(1000000000000000 + number), "select 1");
  client->send(bytes);
  wait_for_unread(descriptor, bytes.size());
  session->on_ready(net::now(), true);
  CHECK(drain_event_count() == 16);
  session->send_rejection(2, {});
  client->send(encode_cancel(1) + encode_cancel(2) + encode_cancel(20) + encode_cancel(99));
  wait_for_bytes(descriptor);
  session->release_message_credit();
  session->on_ready(net::now(), true);
  const auto events = fixture.event_queue.drain_until(net::now());
  REQUIRE(events.size() == 1);
  CHECK(std::get<dispatch::RequestCancelled>(std::get<dispatch::Event>(events[0])).call == 1);
  for (int i = 0; i < 16; ++i) session->release_message_credit();
  session->on_ready(net::now(), true);
  CHECK(drain_event_count() == 3);  // the requests 17 to 19
}

// Guards against two responses under one number: only a valid request's number was looked up (REPORT-2.md,
// docs/incidents/two-responses.md).
TEST_CASE("a message under the number of an open call closes the connection, whatever it is" *
          doctest::timeout(kTestTimeoutS)) {
  const std::string request = encode_request(1, "0123456789abcde1", "select 1");
  const std::string of_no_class = encode_request(1, "0123456789abcde2", "select 2", "none");
  for (const std::string& second : {request, of_no_class, encode_probe(1)}) {
    PausedClient together;
    together.client->send(request + second);
    wait_for_unread(together.descriptor, request.size() + second.size());
    CHECK((together.session->on_ready(net::now(), true) == net::Pollable::PollResult::closed));
    CHECK(together.drain_event_count() == 0);

    PausedClient later;
    later.client->send(request);
    wait_for_bytes(later.descriptor);
    CHECK((later.session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_readable));
    CHECK(later.drain_event_count() == 1);
    later.client->send(second);
    wait_for_bytes(later.descriptor);
    CHECK((later.session->on_ready(net::now(), true) == net::Pollable::PollResult::closed));
    CHECK(later.drain_event_count() == 0);
  }
}

TEST_CASE_FIXTURE(PausedClient, "a number may be used again once its call is answered or cancelled" *
                                    doctest::timeout(kTestTimeoutS)) {
  const std::string request = encode_request(1, "0123456789abcde1", "select 1");
  for (int i = 0; i < 3; ++i) {
    client->send(request);
    wait_for_bytes(descriptor);
    CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_readable));
    CHECK(drain_event_count() == 1);
    session->release_message_credit();
    session->send_failure(1, "test");
  }
  client->send(request + encode_cancel(1) + request);
  wait_for_bytes(descriptor);
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_readable));
  CHECK(drain_event_count() == 1);
}

// Guards against clients that repeat each refused request at once: they were never closed, and no other
// client could connect (review/6, docs/incidents/flooded-connections.md).
TEST_CASE_FIXTURE(PausedClient,
                  "a client with many refusals and no result is closed although more is unread" *
                      doctest::timeout(kTestTimeoutS)) {
  const auto send_requests = [&](int from, int to) {
    std::string bytes;
    for (int number = from; number <= to; ++number)
      bytes += encode_request(number, std::to_string(1000000000000000 + number), "x");
    client->send(bytes);
    wait_for_unread(descriptor, bytes.size());
  };
  const Time time = net::now();  // stands still, so that the rate permits nothing more
  send_requests(1, 120);
  BriefDispatcher dispatcher;
  for (int i = 0; i < 10; ++i) {
    session->on_ready(time, true);
    dispatcher.handle_events(*this);
  }
  send_requests(100, 100);
  CHECK_FALSE(session->close_if_idle());  // after 56 refusals it may be a client that retries
  send_requests(101, 110);
  session->on_ready(time, true);
  send_requests(111, 111);
  CHECK(session->close_if_idle());
}

TEST_CASE("beyond its rate a client's requests are refused until nothing is unread") {
  net::IntakeLimiter limiter;
  const Time start{1000s};
  int accepted = 0;
  while (limiter.accept(start, false)) ++accepted;
  CHECK(accepted == 64);
  CHECK_FALSE(limiter.accept(start + 1s, false));  // the rate permits it, but more is unread
  CHECK_FALSE(limiter.accept(start + 1s, true));
  limiter.on_nothing_unread();
  CHECK(limiter.accept(start + 1s, false));
  CHECK(limiter.accept(start, true));
}

// Guards against a client that sends at full speed and takes the time of all others.
TEST_CASE("a client with too many refused requests is read at a fixed rate") {
  net::IntakeLimiter limiter;
  const Time start{1000s};
  int read = 0;
  for (; limiter.may_read(start); ++read) limiter.accept(start, false);
  CHECK(read == 64 + 1024);
  const Time next = limiter.next_read(start);
  CHECK((next == start + 20ms));
  CHECK(limiter.may_read(next));
  limiter.on_ignored(next, false);
  CHECK_FALSE(limiter.may_read(next));
  limiter.on_ignored(next + 20ms, true);
  CHECK(limiter.may_read(next + 20ms));
}

}  // namespace
}  // namespace yokestream::test

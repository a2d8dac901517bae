// What this process does to a client's connection by its own choice: what is refused, counted and logged, and
// when the connection is closed. The client is read only when the test says so.
#include <doctest/doctest.h>

#include "net_session_fixture.h"

namespace yokestream::test {
namespace {

// Guards against a close that leaves no trace: a lost request could not be told from one that never came
// (issue 47, docs/incidents/unanswered-at-close.md).
TEST_CASE_FIXTURE(PausedClient,
                  "refusals are counted, and a close over an unread request is logged and reported" *
                      doctest::timeout(kTestTimeoutS)) {
  fixture.reader_pool.metrics = std::make_shared<metrics::Metrics>(fixture.config.real.classes);
  std::string bytes;
  for (int number = 1; number <= 70; ++number)
    bytes += encode_request(number, std::to_string(1000000000000000 + number), "x");
  client->send(bytes);
  wait_for_unread(descriptor, bytes.size());
  const Time time = net::now();
  BriefDispatcher dispatcher;
  for (int i = 0; i < 10; ++i) {
    session->on_ready(time, true);
    dispatcher.handle_events(*this);
  }
  const std::string text = fixture.reader_pool.metrics->text();
  CHECK(text.find("edge_relay.requests.look.refused:6|c") != std::string::npos);
  CHECK(text.find("edge_relay.rejections.client_rate:6|c") != std::string::npos);
  client->send(encode_request(100, "1000000000000100", "x"));
  wait_for_bytes(descriptor);
  session->abort("test");
  CHECK(fixture.log.count("closed with pending requests: cause=\"test\" session=1 open_calls=8 ") == 1);
  session->on_closed();
  const auto events = fixture.event_queue.drain_until(net::now());
  REQUIRE(events.size() == 1);
  CHECK(std::get<dispatch::SessionClosed>(std::get<dispatch::Event>(events[0])).requests_pending);
}

// A client that keeps to the protocol and repeats each of its requests as soon as it is refused. All that
// reaches the dispatcher is rejected. The clock stands still, so that the rate permits nothing more.
struct RepeatingClient : PausedClient {
  int requests = 32;  // with those that are open already the most that the protocol allows
  const Time time = net::now();
  void send_requests() {
    std::string bytes;
    for (int number = 1; number <= requests; ++number)
      bytes += encode_request(number, std::to_string(1000000000000000 + number), "x");
    client->send(bytes);
    wait_for_unread(descriptor, bytes.size());
  }
  void run_until_refused() {
    for (int pass = 0; pass < 2; ++pass) {
      session->on_ready(time, true);
      for (auto& event : fixture.event_queue.drain_until(net::now())) {
        if (const auto* request = std::get_if<dispatch::RequestReceived>(&std::get<dispatch::Event>(event)))
          session->send_rejection(request->call, {});
        session->release_message_credit();
      }
    }
    read_refusals();
  }
  void read_refusals() {
    for (int i = 0; i < requests; ++i) CHECK(client->read_until("Shed", net::now() + 10s));
  }
  void flood() {
    for (int round = 0; round < 5; ++round) {
      send_requests();
      run_until_refused();
    }
    REQUIRE(fixture.log.count("client connection is flooding") == 1);
  }
};

// Guards against closing a connection over unread requests because its client floods: they got no response
// (issue 47, docs/incidents/unanswered-at-close.md).
TEST_CASE_FIXTURE(RepeatingClient,
                  "a flooding client gets a response to each request before its connection is closed" *
                      doctest::timeout(kTestTimeoutS)) {
  flood();
  send_requests();
  CHECK_FALSE(session->close_if_idle());
  CHECK((session->on_ready(time, true) == net::Pollable::PollResult::wait_until_due));
  read_refusals();
  CHECK_FALSE(client->read_until("anything", net::now() + 10s));
  CHECK(fixture.log.count("closed with pending requests") == 0);
  client.reset();
  wait_for_end(descriptor);
  CHECK((session->on_ready(net::now(), false) == net::Pollable::PollResult::closed));
}

// Guards against a close that waits for ever, or that drops an open request: requests are refused until the
// open call has its response.
TEST_CASE_FIXTURE(RepeatingClient,
                  "a flooding client with an open call is closed once the call has its response" *
                      doctest::timeout(kTestTimeoutS)) {
  client->send(encode_request(100, "1000000000000100", "x"));
  wait_for_bytes(descriptor);
  session->on_ready(time, true);
  CHECK(drain_event_count() == 1);
  session->release_message_credit();
  --requests;
  flood();
  send_requests();
  CHECK_FALSE(session->close_if_idle());
  CHECK((session->on_ready(time, true) == net::Pollable::PollResult::wait_readable));
  read_refusals();
  session->send_failure(100, "test");
  CHECK(client->read_until("Fault", net::now() + 10s));
  send_requests();
  CHECK((session->on_ready(time, true) == net::Pollable::PollResult::wait_until_due));
  read_refusals();
  CHECK_FALSE(client->read_until("anything", net::now() + 10s));
}

// Guards against dropping the refusals of requests that were read, because their client sends more than the
// protocol allows (docs/incidents/unanswered-at-close.md).
TEST_CASE_FIXTURE(RepeatingClient,
                  "a client over the protocol's limits gets a refusal for what was read before its close" *
                      doctest::timeout(kTestTimeoutS)) {
  requests = 40;
  session->close_when_settled();
  send_requests();
  CHECK((session->on_ready(time, true) == net::Pollable::PollResult::wait_until_due));
  read_refusals();
  CHECK_FALSE(client->read_until("anything", net::now() + 10s));
}

// A client that is served does not flood: a close that was requested before does not come.
TEST_CASE_FIXTURE(RepeatingClient,
                  "a result cancels the close of a flooding client" * doctest::timeout(kTestTimeoutS)) {
  flood();
  send_requests();
  CHECK_FALSE(session->close_if_idle());
  session->send_result(99, {"row", {}});
  CHECK((session->on_ready(time, true) != net::Pollable::PollResult::closed));
  CHECK(drain_event_count() > 0);
}

// Guards against a reset by a request that crosses the close: the response that was written just before it
// may be lost (issue 47, docs/incidents/unanswered-at-close.md).
TEST_CASE_FIXTURE(PausedClient, "a request that crosses an idle close does not reset the connection" *
                                    doctest::timeout(kTestTimeoutS)) {
  client->send(encode_request(1, "0123456789abcde1", "select 1"));
  wait_for_bytes(descriptor);
  session->on_ready(net::now(), true);
  CHECK(drain_event_count() == 1);
  session->release_message_credit();
  session->send_failure(1, "test");
  CHECK(session->close_if_idle());
  client->send(encode_request(2, "0123456789abcde2", "select 2"));
  wait_for_bytes(descriptor);
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_until_due));
  CHECK(drain_event_count() == 0);
  CHECK(client->read_until("Fault", net::now() + 10s));
  char byte = 0;
  while (::recv(client->socket.descriptor(), &byte, 1, 0) > 0) {
  }
  CHECK(::recv(client->socket.descriptor(), &byte, 1, 0) == 0);  // the end, not a reset
  CHECK((session->on_ready(net::now() + 10s, false) == net::Pollable::PollResult::closed));
}

// Guards against refusals that are held back for a close that another thread cannot make: they were late.
TEST_CASE("a busy client whose close is requested gets its refusals at once" *
          doctest::timeout(kTestTimeoutS)) {
  PausedClient paused(1);
  const auto& session = paused.session;
  for (const dispatch::CallId call : {1, 2}) session->send_result(call, {"row", {}});
  session->close_when_settled();
  const std::string request = encode_request(3, "1000000000000003", "x");
  paused.client->send(request.substr(0, 20));
  wait_for_bytes(paused.descriptor);
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::handed_over));
  paused.client->send(request.substr(20));
  CHECK(paused.client->read_until("Shed", net::now() + 10s));
  // Once it is silent, the client poller closes it; its refusal was not held back until then.
  paused.fixture.log.wait_for("client connection closing");
  CHECK(paused.fixture.log.count("refused_at_close=0") == 1);
  session->abort("test");
}

}  // namespace
}  // namespace yokestream::test

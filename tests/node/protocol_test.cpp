#include <doctest/doctest.h>

#include "helper.h"
#include "protocol/msgpack_rpc.h"
#include "protocol/resp.h"
#include "protocol/sse.h"
#include "statement/table_group.h"

namespace yokestream::test {
namespace {

using namespace protocol;

std::string call_bytes(std::uint8_t id, const std::string& body) {
  std::string out{'\x94', '\x00', static_cast<char>(id)};
  out += "\xa4look\x92\x81\xa3req\xa2";
  out += "ab\xc5";
  out += static_cast<char>(body.size() >> 8);
  out += static_cast<char>(body.size() & 255);
  return out + body;
}

TEST_CASE("MessagePack-RPC: calls, probes and give-ups come out whole, however their bytes are split") {
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    SeededRandom steps(seed);
    std::string bytes;
    std::vector<std::pair<char, std::string>> model;
    for (int i = 0; i < 20; ++i) {
      const std::string body(steps.below(300), 'x');
      const auto kind = steps.below(3);
      if (kind == 0) bytes += call_bytes(7, body), model.emplace_back('c', body);
      if (kind == 1) bytes += std::string("\x93\x02\xa6giveUp\x91\x07", 11), model.emplace_back('g', "");
      if (kind == 2) bytes += std::string("\x94\x00\x07\xa5probe\x91\x80", 11), model.emplace_back('p', "");
    }
    MsgpackReader reader;
    const auto messages = read_split(reader, bytes, steps);
    REQUIRE(messages.size() == model.size());
    for (std::size_t i = 0; i < model.size(); ++i) {
      if (const auto* call = std::get_if<Call>(&messages[i])) {
        CHECK(model[i] == std::pair('c', call->body));
        CHECK(call->fields.at("req") == "ab");
      } else {
        CHECK(std::holds_alternative<CancelCall>(messages[i]) == (model[i].first == 'g'));
      }
    }
  }
}

TEST_CASE("MessagePack-RPC: what is malformed, too deep, too long or too many is an error, never a wait") {
  const std::vector<std::string> bad{"\xc1",
                                     "\x05",
                                     std::string("\x92\x00\x01", 3),
                                     std::string("\xdd\xff\xff\xff\xff", 5),
                                     std::string(20, '\x91'),
                                     std::string("\xc6\x7f\xff\xff\xff", 5)};
  for (const auto& bytes : bad) {
    MsgpackReader reader;
    reader.feed(bytes);
    CHECK_THROWS_AS(reader.next(), ProtocolError);
  }
  MsgpackReader reader;
  reader.feed(std::string("\x94\x00\x07\xa4look\x91\x80", 10));  // well formed, but not a call
  CHECK(std::holds_alternative<BadCall>(*reader.next()));
}

// Guards against messages that take many times their size once decoded (docs/incidents/memory-of-clients.md).
TEST_CASE("MessagePack-RPC: of a call's fields only those that a call may have are kept") {
  MsgpackReader reader;
  reader.feed(
      std::string("\x94\x00\x07\xa4look\x92\x83\xa1x\xa1y\xa3req\xa2"
                  "ab\xa2mb\xa1"
                  "1\xc4\x00",
                  28));
  const auto message = reader.next();
  REQUIRE(message);
  CHECK(std::get<Call>(*message).fields == Fields{{"req", "ab"}, {"mb", "1"}});
}

TEST_CASE("MessagePack-RPC: answers are worded as the protocol shows them") {
  const std::string shed = encode_error(7, "Shed", {{"holdoff", "250"}});
  CHECK(shed.substr(0, 9) == "\x94\x01\x07\x92\xa4Shed");
  CHECK(shed.substr(12) ==
        "\xa7holdoff\xa3"
        "250\xc0");
  CHECK(encode_result(7, "a\tb\n", {}).substr(0, 14) == std::string("\x94\x01\x07\xc0\x92\xc6\x00\x00\x00\x04"
                                                                    "a\tb\n",
                                                                    14));
  CHECK(encode_probe_answer(8, true).substr(0, 6) == "\x94\x01\x08\xc0\x92\xc3");
}

TEST_CASE("RESP: answers come out whole, however their bytes are split") {
  const std::string body = "a\tb\r\nc\n";
  const std::string served =
      "*4\r\n$2\r\nid\r\n$6\r\nserved\r\n$49\r\ntotal=3,elapsed=12.5,rss=96,report=x:1;inflight:7\r\n$" +
      std::to_string(body.size()) + "\r\n" + body + "\r\n";
  const std::string green = "*2\r\n$3\r\ntag\r\n$5\r\ngreen\r\n";
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    SeededRandom steps(seed);
    RespReader reader({"queue", "inflight"});
    const auto answers = read_split(reader, served + green + served, steps);
    REQUIRE(answers.size() == 3);
    CHECK(answers[2].type == ResponseType::result);
    CHECK(answers[2].page_count == 3);
    CHECK(*answers[2].work_ms == 12.5);
    CHECK(answers[2].load_report == std::vector<double>{-1, 7});
    CHECK(answers[2].body == body);
    CHECK(answers[1].type == ResponseType::pong);
  }
}

TEST_CASE("RESP: figures out of any range are as good as none") {
  RespReader reader({"queue", "inflight"});
  reader.feed(
      "*4\r\n$2\r\nid\r\n$6\r\nserved\r\n$56\r\ntotal=1,elapsed=-5,rss=1e30,report=queue:-1;inflight:1e9\r\n$"
      "0\r\n\r\n");
  const auto answer = reader.next();
  REQUIRE(answer.has_value());
  CHECK_FALSE(answer->work_ms.has_value());
  CHECK(answer->memory_mb == 0);
  CHECK(answer->load_report == std::vector<double>{-1, -1});
}

TEST_CASE("RESP: malformed answers are errors") {
  for (const std::string bad :
       {"+OK\r\n", "*1\r\n", "*99\r\n", "*2\r\n$99999999\r\n", "*x\r\n", "*2\r\n$1\r\nabc\r\n",
        "*2\r\n$1\r\na\r\n$5\r\nsered\r\n", "*3\r\n$1\r\na\r\n$6\r\nserved\r\n$7\r\ntotal=x\r\n"}) {
    RespReader reader({});
    reader.feed(bad);
    CHECK_THROWS_AS(reader.next(), ProtocolError);
  }
}

TEST_CASE("RESP: commands are worded as the protocol shows them") {
  EngineRequest request{"id", "look", Time(2500ms), 3, "select 1"};
  CHECK(encode_request(request, Time(1000ms)) ==
        "*4\r\n$3\r\nREQ\r\n$2\r\nid\r\n$28\r\nprofile=look,max=1500,band=3\r\n$8\r\nselect 1\r\n");
  CHECK(encode_fetch("id", 2) == "*3\r\n$5\r\nFETCH\r\n$2\r\nid\r\n$1\r\n2\r\n");
}

TEST_CASE("SSE: events come out whole, chunked or not, and comments do not") {
  const std::string events =
      ": ping\n\nid: 4\ndata: {\"n\":4}\n\n: ping\n\nid: 5\r\ndata: a\r\ndata: b\r\n\r\n";
  std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char c : events) chunked += std::string("1\r\n") + c + "\r\n";
  for (const auto& bytes : {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + events, chunked}) {
    SeededRandom steps(3);
    SseReader reader;
    const auto out = read_split(reader, bytes, steps);
    REQUIRE(out.size() == 2);
    CHECK(out[0].id == "4");
    CHECK(out[0].data == "{\"n\":4}");
    CHECK(out[1].data == "a\nb");
  }
  SseReader reader;
  CHECK_THROWS_AS(reader.feed("HTTP/1.1 404 Not Found\r\n"), ProtocolError);
}

TEST_CASE("a statement's table group is that of the schema it reads or writes") {
  using statement::table_group;
  CHECK(table_group("SELECT a FROM sales_17.orders o") == 17);
  CHECK(table_group("select o_3.x from sales_17.orders o_3") == 17);
  CHECK(table_group("select 'x_1.y', \"q_2.z\" /* c_3.d /* e_4.f */ */ from a_5.b -- g_6.h") == 5);
  CHECK(table_group("insert into load_8.t select * from staging.raw") == 8);
  CHECK(table_group("select 'it''s a_1.b' from noms_12.c") == 12);
  CHECK(table_group("select $t$ from a_1.b $t$ from noms_12.c") == 12);
  CHECK_FALSE(table_group("select 1 from staging.raw").has_value());
  CHECK_FALSE(table_group("select 'unterminated from a_1.b").has_value());
}

}  // namespace
}  // namespace yokestream::test

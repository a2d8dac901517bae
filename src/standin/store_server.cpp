#include "standin/store_server.h"

#include <httplib.h>

#include "net/clock.h"
#include "standin/store_json.h"
#include "store/gateway_codec.h"

namespace yokestream::standin {
namespace {

constexpr Duration kLook = std::chrono::milliseconds(20);  // at leases that end, and at the end of all
constexpr const char* kPaths[] = {"/v3/kv/txn", "/v3/kv/range", "/v3/lease/grant", "/v3/lease/keepalive",
                                  "/v3/lease/revoke"};

int http_status(int code) { return code == StoreModel::kUnavailable ? 503 : code == 5 ? 404 : 400; }

}  // namespace

StoreServer::StoreServer() : server_(std::make_unique<httplib::Server>()) {
  server_->new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  server_->set_tcp_nodelay(true);
  server_->set_idle_interval(0, 20'000);  // who waits in accept() is not woken by the end on every platform
  server_->set_keep_alive_max_count(1'000'000);
  for (int kind = 0; kind < 5; ++kind)
    server_->Post(kPaths[kind],
                  [this, kind](const auto& asked, auto& response) { post(asked, response, kind); });
  server_->Post("/v3/watch", [this](const auto& asked, auto& response) { watch(asked, response); });
  endpoint_ = {"127.0.0.1", static_cast<std::uint16_t>(server_->bind_to_any_port("127.0.0.1"))};
  listener_ = net::Thread("store", net::kLargeStackBytes, [this] { server_->listen_after_bind(); });
  clock_ = net::Thread("store-clock", net::kLargeStackBytes, [this] {
    std::unique_lock lock(mutex_);
    while (!over_) {
      model_.expire(net::now());
      news_.notify_all();
      news_.wait_for(lock, kLook);
    }
  });
}

StoreServer::~StoreServer() {
  with([&](auto&) { over_ = true; });
  while (!server_->is_running()) std::this_thread::yield();  // it may not have begun
  server_->stop();
}

void StoreServer::wait(const std::function<bool(StoreModel&)>& wanted) {
  std::unique_lock lock(mutex_);
  news_.wait(lock, [&] { return wanted(model_); });
}

void StoreServer::lose_reply(std::function<bool(const store::Txn&)> which) {
  with([&](auto&) { lose_ = std::move(which), lost_ = false; });
}
bool StoreServer::lost_reply() {
  return with([&](auto&) { return lost_; });
}

void StoreServer::post(const httplib::Request& asked, httplib::Response& response, int kind) {
  try {
    const auto request = decode_request(kind, asked.body);
    const auto answer = with([&](StoreModel& model) {
      if (fail_code_ != 0 && store::may_change(request)) return StoreAnswer{fail_code_, "a trouble", {}};
      auto done = model.handle(net::now(), request);
      const auto* txn = std::get_if<store::Txn>(&request);
      if (txn && lose_ && done.code == 0 && lose_(*txn)) lost_ = true, lose_ = {}, done.code = -1;
      return done;
    });
    if (answer.code == -1)  // done, and the connection breaks off in the middle of the answer
      return response.set_chunked_content_provider("application/json",
                                                   [](size_t, httplib::DataSink&) { return false; });
    if (answer.code != 0) response.status = http_status(answer.code);
    response.set_content(answer.code == 0 ? encode_answer(request, answer) : encode_error(answer),
                         "application/json");
  } catch (const std::exception& problem) {
    response.status = 400;
    response.set_content(encode_error({3, problem.what(), {}}), "application/json");
  }
}

void StoreServer::watch(const httplib::Request& asked, httplib::Response& response) {
  auto watch = std::make_shared<store::WatchRequest>(decode_watch(asked.body));
  auto begun = std::make_shared<bool>(false);
  response.set_chunked_content_provider(
      "application/json", [this, watch, begun](size_t, httplib::DataSink& sink) {
        store::WatchResponse out;
        {
          std::unique_lock lock(mutex_);
          if (over_) return false;
          out.revision = model_.revision();
          if (watch->start_revision == 0) watch->start_revision = model_.revision() + 1;
          out.created = !std::exchange(*begun, true);
          if (model_.check(*watch).code != 0) {
            out.canceled = true, out.compact_revision = model_.revision();
          } else {
            auto events = model_.events(*watch);
            if (events.empty() && !out.created) news_.wait_for(lock, kLook), events = model_.events(*watch);
            out.revision = model_.revision();
            for (auto& [revision, event] : events)
              out.events.push_back(event), watch->start_revision = revision + 1;
          }
        }
        if (out.events.empty() && !out.created && !out.canceled) return sink.is_writable();
        const std::string line = encode_watched(out);
        return sink.write(line.data(), line.size()) && !out.canceled;
      });
}

}  // namespace yokestream::standin

// The store as we play it, on loopback: StoreModel behind the JSON gateway of etcd v3 (cpp-httplib). For
// tests and measurements; never linked into `yokestream serve`.
//
// Any thread may call. Threads: the library's pool, kThreads, one held by each open watch.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

#include "config/members.h"
#include "net/thread.h"
#include "standin/store_model.h"

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace yokestream::standin {

class StoreServer {
 public:
  static constexpr std::size_t kThreads = 64;

  StoreServer();
  ~StoreServer();
  config::Endpoint endpoint() const { return endpoint_; }

  // The model under its lock, and whoever watches looks again.
  template <class What>
  auto with(What what) {
    const std::lock_guard lock(mutex_);
    struct Look {
      std::condition_variable& news;
      ~Look() { news.notify_all(); }
    } look{news_};
    return what(model_);
  }
  // Waits until the model is as wanted.
  void wait(const std::function<bool(StoreModel&)>& wanted);
  // Troubles.
  void fail_writes(int code) {
    with([&](auto&) { fail_code_ = code; });
  }  // 0: no more
  // The next transaction that `which` agrees to is carried out, and its reply never comes.
  void lose_reply(std::function<bool(const store::Txn&)> which);
  bool lost_reply();  // it has happened

 private:
  void post(const httplib::Request& asked, httplib::Response& response, int kind);
  void watch(const httplib::Request& asked, httplib::Response& response);

  std::mutex mutex_;
  std::condition_variable news_;
  StoreModel model_;
  int fail_code_ = 0;
  std::function<bool(const store::Txn&)> lose_;
  bool lost_ = false, over_ = false;
  config::Endpoint endpoint_;
  std::unique_ptr<httplib::Server> server_;
  net::Thread listener_, clock_;
};

}  // namespace yokestream::standin

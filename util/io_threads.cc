// One io_context a thread, each kept alive by a work guard until Stop.

#include "util/io_threads.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <thread>
#include <utility>
#include <vector>

#include "util/loop_watch.h"

namespace flamingohollow {

namespace asio = boost::asio;

namespace {

class EventLoop : public asio::io_context {
 public:
  // The hint says that only one thread runs the loop.
  EventLoop() : asio::io_context(1) {}
  // Destroys what waits on the loop, while the loop itself stays valid.
  void DropWork() { shutdown(); }
};

}  // namespace

struct IoThreads::Impl {
  struct Worker {
    EventLoop loop_;
    asio::executor_work_guard<asio::io_context::executor_type> guard_{
        loop_.get_executor()};
    LoopWatch watch_ = MakeLoopWatch(MonotonicNow());
    asio::steady_timer turn_timer_{loop_};
    std::thread thread_;

    void ScheduleTurn() {
      turn_timer_.expires_after(std::chrono::milliseconds(kTurnInterval.ms()));
      turn_timer_.async_wait([this](boost::system::error_code error) {
        if (error) return;
        RecordTurn(watch_, MonotonicNow());
        ScheduleTurn();
      });
    }
  };
  std::vector<std::unique_ptr<Worker>> workers_;
};

IoThreads::IoThreads(std::size_t count) : impl_(std::make_unique<Impl>()) {
  for (std::size_t i = 0; i < std::max<std::size_t>(count, 1); ++i) {
    impl_->workers_.push_back(std::make_unique<Impl::Worker>());
    Impl::Worker& worker = *impl_->workers_.back();
    worker.ScheduleTurn();
    worker.thread_ = std::thread([&worker] { worker.loop_.run(); });
  }
}

IoThreads::~IoThreads() { Stop(); }

std::size_t IoThreads::size() const { return impl_->workers_.size(); }

asio::io_context& IoThreads::Loop(std::size_t index) {
  return impl_->workers_[index]->loop_;
}

Time IoThreads::EarliestArrival(std::size_t index) {
  return flamingohollow::EarliestArrival(impl_->workers_[index]->watch_,
                                         MonotonicNow());
}

void IoThreads::Post(std::size_t index, std::function<void()> task) {
  asio::post(Loop(index), std::move(task));
}

void IoThreads::Stop() {
  for (auto& worker : impl_->workers_) worker->loop_.stop();
  for (auto& worker : impl_->workers_) {
    if (worker->thread_.joinable()) worker->thread_.join();
  }
  // What waits on one loop may own timers and sockets of another, so all of it
  // goes before the first loop does.
  for (auto& worker : impl_->workers_) worker->loop_.DropWork();
}

}  // namespace flamingohollow

// Creates the entry's components, connects them and shuts them down.

#include "flamingohollow/entry.h"

#include <absl/random/random.h>

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <thread>
#include <utility>

#include "flamingohollow/entry_core.h"
#include "flamingohollow/filter.h"
#include "flamingohollow/http_client.h"
#include "flamingohollow/http_server.h"
#include "flamingohollow/identity.h"
#include "flamingohollow/metrics.h"
#include "flamingohollow/rpc.h"
#include "flamingohollow/trace.h"
#include "util/io_threads.h"
#include "util/log.h"

namespace flamingohollow {
namespace {

constexpr std::size_t kTrafficThreads = 2;
constexpr unsigned kUnavailable = 503;
constexpr Duration kBusyRetryAfter = Duration(200);
// The listener stays open for the drain time divided by this, so that the load
// balancer sees that the entry is no longer ready.
constexpr std::int64_t kGraceDivisor = 5;
constexpr Duration kMaxGrace = Duration(2000);
// The last answers are sent in the drain time divided by this.
constexpr std::int64_t kLastAnswersDivisor = 10;
constexpr auto kDrainPollInterval = std::chrono::milliseconds(5);

std::string SpanPath(const Settings& settings) {
  if (settings.trace_file_.empty()) return {};
  return settings.data_folder_ + "/" + settings.trace_file_;
}

HttpServerOptions ServerOptions(const Settings& settings) {
  HttpServerOptions options;
  options.address_ = settings.http_;
  options.max_connections_ = settings.limits_.max_connections_;
  options.max_body_bytes_ = settings.limits_.max_body_bytes_;
  return options;
}

HttpClientOptions ClientOptions(const Settings& settings) {
  HttpClientOptions options;
  options.max_connections_ = settings.limits_.max_worker_connections_;
  return options;
}

EntryCoreOptions CoreOptions(const Settings& settings, std::uint64_t seed) {
  EntryCoreOptions options;
  options.name_ = settings.name_;
  // Increases with each start if the wall clock does. Control tracks leases by
  // incarnation; if one were repeated, control would only take both processes
  // for the same entry.
  options.incarnation_ =
      Incarnation(static_cast<std::uint64_t>(WallNow().ms()));
  options.controls_ = settings.controls_;
  options.seed_ = seed;
  return options;
}

std::uint64_t NextRandom() {
  static thread_local absl::BitGen generator;
  return generator();
}

std::string RouteName(const PendingRequest& pending) {
  switch (pending.parsed_.kind_) {
    case RouteKind::kCall:
      return pending.request_.method_;
    case RouteKind::kAnnounce:
      return "announce";
    case RouteKind::kMetrics:
    case RouteKind::kHealth:
    case RouteKind::kReady:
      return "public";
  }
  return "public";
}

}  // namespace

struct EntryServer::Impl {
  Impl(const Settings& settings, const std::vector<LoadedToken>& tokens,
       std::unique_ptr<RpcNode> rpc)
      : settings_(settings),
        identities_(MakeIdentities(tokens, NextRandom())),
        spans_(SpanPath(settings)),
        rpc_(std::move(rpc)),
        control_(1),
        traffic_(kTrafficThreads),
        client_(ClientOptions(settings), traffic_, kTrafficThreads - 1),
        core_(CoreOptions(settings, NextRandom()), control_, *rpc_, client_,
              metrics_, spans_) {}
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void HandleHttp(HttpRequest request, const HttpResponder& respond);
  void Finish(const Span& span, const std::string& route, Time received_at,
              const HttpResponder& respond, HttpResponse response);
  void Drain();

  const Settings settings_;
  const Identities identities_;
  Metrics metrics_;
  SpanLog spans_;
  // Members are destroyed from the last to the first; ~Impl stops all threads
  // before that.
  std::unique_ptr<RpcNode> rpc_;
  IoThreads control_;
  IoThreads traffic_;
  HttpClient client_;
  EntryCore core_;
  std::unique_ptr<HttpServer> server_;
  // Requests passed to the control thread and not yet answered, including
  // waiting callers.
  std::atomic<std::uint64_t> requests_{0};
  bool stopped_ = false;
};

// No thread may call into a destroyed component, so the threads that call the
// core stop first, then the core's own thread.
EntryServer::Impl::~Impl() {
  traffic_.Stop();
  rpc_->Stop();
  control_.Stop();
}

void EntryServer::Impl::Finish(const Span& span, const std::string& route,
                               Time received_at, const HttpResponder& respond,
                               HttpResponse response) {
  const Time now = MonotonicNow();
  metrics_.Count(
      "entry_requests_total",
      {{"route", route}, {"status", std::to_string(response.status_)}});
  metrics_.Observe("entry_request_ms",
                   static_cast<double>((now - received_at).ms()), now,
                   {{"route", route}});
  // Announcements are too frequent to record spans for and belong to no job.
  if (route != "announce" && route != "public") {
    Span ended = span;
    ended.duration_ = now - received_at;
    ended.tags_.emplace_back("status", std::to_string(response.status_));
    spans_.Record(ended);
  }
  respond(std::move(response));
}

void EntryServer::Impl::HandleHttp(HttpRequest request,
                                   const HttpResponder& respond) {
  PendingRequest pending;
  pending.received_at_ = MonotonicNow();
  pending.request_ = std::move(request);
  const TrafficContext context{identities_, settings_.limits_.max_body_bytes_,
                               NextRandom(), WallNow()};
  FilterResult filter_result = FilterTraffic(context, pending);
  const std::string route = RouteName(pending);
  if (!filter_result.has_value() && pending.parsed_.kind_ == RouteKind::kCall &&
      !core_.TryBeginCall()) {
    filter_result =
        ErrorResponse(kUnavailable, "unavailable",
                      "too many requests in flight", kBusyRetryAfter);
  }
  if (filter_result.has_value()) {
    Finish(pending.span_, route, pending.received_at_, respond,
           std::move(*filter_result));
    return;
  }
  if (pending.parsed_.kind_ == RouteKind::kMetrics) {
    ExportServerCounts(server_->Counts(), metrics_);
  }
  ++requests_;
  HttpResponder finish = [this, span = pending.span_, route,
                          received_at = pending.received_at_,
                          respond](HttpResponse response) {
    --requests_;
    Finish(span, route, received_at, respond, std::move(response));
  };
  core_.Post([this, pending = std::move(pending),
              finish = std::move(finish)]() mutable {
    core_.Handle(std::move(pending), std::move(finish));
  });
}

void EntryServer::Impl::Drain() {
  if (stopped_) return;
  stopped_ = true;
  LogInfo("{} is draining", settings_.name_.value());
  const Duration limit = settings_.limits_.drain_;
  const Time deadline = MonotonicNow() + limit;
  // First the server, so that the answers to waiting callers close their
  // connections.
  server_->Drain(std::min(limit / kGraceDivisor, kMaxGrace));
  const Time last_answers = deadline - limit / kLastAnswersDivisor;
  core_.Post([this, last_answers] { core_.Drain(last_answers); });
  bool busy = true;
  while (busy && MonotonicNow() < deadline) {
    std::this_thread::sleep_for(kDrainPollInterval);
    busy = !server_->IsDrained() || requests_ > 0 || core_.in_flight() > 0;
  }
  LogInfo("{} {}", settings_.name_.value(),
          busy ? "reached its drain time limit" : "is drained");
}

EntryServer::EntryServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

EntryServer::~EntryServer() = default;

boost::leaf::result<std::unique_ptr<EntryServer>> EntryServer::Create(
    const Settings& settings, const std::vector<LoadedToken>& tokens) {
  return boost::leaf::try_handle_some(
      [&]() -> boost::leaf::result<std::unique_ptr<EntryServer>> {
        // An entry receives no RPC calls.
        BOOST_LEAF_AUTO(
            rpc, RpcNode::Create(
                     "", [](RpcKind, const std::string&,
                            const RpcResponder& respond) { respond({}); }));
        auto impl = std::make_unique<Impl>(settings, tokens, std::move(rpc));
        Impl* const self = impl.get();
        BOOST_LEAF_ASSIGN(
            impl->server_,
            HttpServer::Create(
                ServerOptions(settings), impl->traffic_,
                [self](HttpRequest request, const HttpResponder& respond) {
                  self->HandleHttp(std::move(request), respond);
                }));
        self->core_.Post([self] { self->core_.Start(); });
        LogInfo("{} serves HTTP on port {}", settings.name_.value(),
                impl->server_->port());
        return std::unique_ptr<EntryServer>(new EntryServer(std::move(impl)));
      },
      [&](HttpServerError)
          -> boost::leaf::result<std::unique_ptr<EntryServer>> {
        return boost::leaf::new_error(
            EntryError{"can't listen on \"" + settings.http_ + "\""});
      },
      [&](RpcError) -> boost::leaf::result<std::unique_ptr<EntryServer>> {
        return boost::leaf::new_error(EntryError{"can't start RPC"});
      });
}

void EntryServer::Stop() { impl_->Drain(); }

std::uint16_t EntryServer::port() const { return impl_->server_->port(); }

}  // namespace flamingohollow

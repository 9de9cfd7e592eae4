// Validation of the catalog, and lookups in it.

#include "flamingohollow/catalog.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace flamingohollow {
namespace {

std::optional<std::string> FindQueueMistake(const Catalog& catalog) {
  std::set<PoolName> pools;
  for (const PoolRow& pool : catalog.pools_) pools.insert(pool.name_);
  std::set<std::pair<std::string, std::string>> routes;
  for (const QueueRow& queue : catalog.queues_) {
    const std::string& name = queue.name_.value();
    if (!pools.contains(queue.pool_)) {
      return fmt::format("queue {} refers to the unknown pool {}", name,
                         queue.pool_.value());
    }
    if (!routes.emplace(queue.host_, queue.path_prefix_).second) {
      return fmt::format(
          "queue {} has the same host and path prefix as another queue", name);
    }
    if (queue.timeout_ <= Duration(0)) {
      return fmt::format("the timeout of queue {} is not above 0", name);
    }
  }
  return std::nullopt;
}

std::optional<std::string> FindCustomerMistake(const Catalog& catalog) {
  std::set<std::string_view> keys;
  for (const CustomerRow& customer : catalog.customers_) {
    for (const std::string& key : customer.keys_) {
      if (keys.insert(key).second) continue;
      return fmt::format("customer {} shares a key with another customer",
                         customer.name_.value());
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> FindCatalogMistake(const Catalog& catalog) {
  if (catalog.version_ == CatalogVersion()) return "the version is missing";
  if (auto mistake = FindQueueMistake(catalog)) return mistake;
  return FindCustomerMistake(catalog);
}

const QueueRow* FindQueue(const Catalog& catalog, std::string_view host,
                          std::string_view path) {
  const QueueRow* best = nullptr;
  for (const QueueRow& queue : catalog.queues_) {
    if (queue.host_ != host || !path.starts_with(queue.path_prefix_)) continue;
    const bool longer = best == nullptr ||
                        queue.path_prefix_.size() > best->path_prefix_.size();
    if (longer) best = &queue;
  }
  return best;
}

const CustomerRow* FindCustomerByKey(const Catalog& catalog,
                                     std::string_view key) {
  if (key.empty()) return nullptr;
  for (const CustomerRow& customer : catalog.customers_) {
    const auto& keys = customer.keys_;
    if (std::find(keys.begin(), keys.end(), key) != keys.end()) {
      return &customer;
    }
  }
  return nullptr;
}

const PoolRow* FindPool(const Catalog& catalog, const PoolName& name) {
  for (const PoolRow& pool : catalog.pools_) {
    if (pool.name_ == name) return &pool;
  }
  return nullptr;
}

std::int64_t GuaranteeOf(const Catalog& catalog, const CustomerId& customer) {
  for (const CustomerRow& row : catalog.customers_) {
    if (row.name_ == customer) return row.guaranteed_accelerators_;
  }
  return 0;
}

}  // namespace flamingohollow

// The operator's document: queues, worker pools and customers.
//
// A document is taken whole or not at all. It carries the operator's own
// version; the highest accepted version is in force, and an older or equal one
// changes nothing. The text is kept as it was sent, to be read back.

#ifndef FLAMINGOHOLLOW_CATALOG_H_
#define FLAMINGOHOLLOW_CATALOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "flamingohollow/graph_types.h"
#include "util/clock.h"

namespace flamingohollow {

struct QueueRow {
  QueueName name_;
  // Requests for `host_` whose path begins with `path_prefix_` are for this
  // queue; the longest such prefix wins.
  std::string host_;
  std::string path_prefix_;
  PoolName pool_;
  // Callers need no key.
  bool public_ = false;
  // Longest time that a caller's request may take; above 0.
  Duration timeout_;
  // 0 is the most urgent.
  std::uint32_t priority_ = 0;
  std::uint32_t max_attempts_ = 1;
  // A job is on time when it is done within `slack_` times its longest chain
  // of work plus `objective_`.
  double slack_ = 1;
  Duration objective_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name_, host_, path_prefix_, pool_, public_, timeout_, priority_,
            max_attempts_, slack_, objective_);
  }
};

struct PoolRow {
  PoolName name_;
  // The workers refuse what does not fit; otherwise they start whatever they
  // are told to.
  bool guards_capacity_ = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name_, guards_capacity_);
  }
};

struct CustomerRow {
  CustomerId name_;
  std::vector<std::string> keys_;
  // Accelerators that belong to the customer's jobs of priority 0.
  std::int64_t guaranteed_accelerators_ = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name_, keys_, guaranteed_accelerators_);
  }
};

struct Catalog {
  // 0: none yet.
  CatalogVersion version_;
  std::string text_;
  std::vector<QueueRow> queues_;
  std::vector<PoolRow> pools_;
  std::vector<CustomerRow> customers_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(version_, text_, queues_, pools_, customers_);
  }
};

// What is wrong with the document, or nothing. O(rows log rows).
std::optional<std::string> FindCatalogMistake(const Catalog& catalog);

// The queue that a request is for; null when none is.
const QueueRow* FindQueue(const Catalog& catalog, std::string_view host,
                          std::string_view path);
const CustomerRow* FindCustomerByKey(const Catalog& catalog,
                                     std::string_view key);
const PoolRow* FindPool(const Catalog& catalog, const PoolName& name);
std::int64_t GuaranteeOf(const Catalog& catalog, const CustomerId& customer);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_CATALOG_H_

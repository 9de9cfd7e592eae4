// The catalog: the operator's document of queues, worker pools and customers.
//
// A document is accepted as a whole or rejected. It carries a version that the
// operator assigns. The highest accepted version is in force; a document with
// an older or equal version changes nothing. The text is stored as it was sent,
// so that it can be read back.

#ifndef FLAMINGOHOLLOW_CATALOG_H_
#define FLAMINGOHOLLOW_CATALOG_H_

#include <compare>
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
  // Requests for `host_` whose path begins with `path_prefix_` go to this
  // queue; the longest matching prefix wins.
  std::string host_;
  std::string path_prefix_;
  PoolName pool_;
  // Whether callers need no key.
  bool public_ = false;
  // Maximum duration of a caller's request; above 0.
  Duration timeout_;
  // 0 is the most urgent.
  std::uint32_t priority_ = 0;
  std::uint32_t max_attempts_ = 1;
  // A job is on time if it ends within `slack_` times the length of its longest
  // chain of steps plus `objective_`.
  double slack_ = 1;
  Duration objective_;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name_, host_, path_prefix_, pool_, public_, timeout_, priority_,
            max_attempts_, slack_, objective_);
  }
};

// Where callers reach a queue, and its jobs.
struct QueuePlace {
  std::string host_;
  std::string path_prefix_;

  friend auto operator<=>(const QueuePlace&, const QueuePlace&) = default;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(host_, path_prefix_);
  }
};

inline QueuePlace PlaceOf(const QueueRow& queue) {
  return {queue.host_, queue.path_prefix_};
}

struct PoolRow {
  PoolName name_;
  // Whether the workers reject tasks that exceed their capacity. Otherwise they
  // start every task that they are sent.
  bool enforces_capacity_ = false;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name_, enforces_capacity_);
  }
};

struct CustomerRow {
  CustomerId name_;
  std::vector<std::string> keys_;
  // Accelerators guaranteed to the customer's jobs of priority 0.
  std::int64_t guaranteed_accelerators_ = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name_, keys_, guaranteed_accelerators_);
  }
};

struct Catalog {
  // 0 if no catalog was accepted yet.
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

// Returns an error message, or nothing if the document is valid.
// O(rows log rows).
std::optional<std::string> FindCatalogMistake(const Catalog& catalog);

// Returns the queue that a request goes to, or null if no queue matches.
const QueueRow* FindQueue(const Catalog& catalog, std::string_view host,
                          std::string_view path);
// Returns null if no customer has the key, or if it is empty.
const CustomerRow* FindCustomerByKey(const Catalog& catalog,
                                     std::string_view key);
// Returns null if there is no such pool.
const PoolRow* FindPool(const Catalog& catalog, const PoolName& name);
// Returns the customer's guaranteed accelerators, or 0 if it is unknown.
std::int64_t GuaranteeOf(const Catalog& catalog, const CustomerId& customer);

}  // namespace flamingohollow

#endif  // FLAMINGOHOLLOW_CATALOG_H_

// The platform's key-value service as a map with compare-and-swap.
#ifndef BURDOCKROCK_LEDGER_FAKE_PLATFORM_H_
#define BURDOCKROCK_LEDGER_FAKE_PLATFORM_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "model/platform.h"

namespace burdockrock {

class FakePlatform {
 public:
  // Carries an operation out at once and counts it.
  PlatformResult Execute(const PlatformOperation& operation);

  const std::map<std::string, KvItem>& items() const { return items_; }
  std::uint64_t writes() const { return writes_; }
  std::uint64_t reads() const { return reads_; }
  std::size_t written_bytes() const { return written_bytes_; }

 private:
  PlatformResult Put(const KvPut& put);
  PlatformResult Delete(const KvDelete& erase);
  PlatformResult Get(const KvGet& get);
  PlatformResult Range(const KvRange& range);
  Revision RevisionOf(const std::string& key) const;

  std::map<std::string, KvItem> items_;
  Revision revision_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t reads_ = 0;
  std::size_t written_bytes_ = 0;
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_LEDGER_FAKE_PLATFORM_H_

#include <fmt/format.h>
#include <malloc.h>

#include <random>

#include "core/clock.h"
#include "core/event.h"
#include "policy/config_store.h"
#include "policy/query_planner.h"

// Benchmarks the tables of one instance at the target fleet size, without
// sockets: memory, parsing, updates of maps, contracts and instances, the
// distribution of upstreams over owners, and query planning. Prints a Markdown
// table.
namespace jackdawrack {
namespace {

constexpr std::size_t kInstances = 3'800;
constexpr std::size_t kDomains = 20;
constexpr std::size_t kUpstreams = 65'000;
constexpr std::size_t kReplicas = 3;
constexpr std::size_t kCollections = 50;
constexpr std::size_t kContracts = 20'000;
constexpr std::size_t kShardsPerBlock = 16;
constexpr std::size_t kUpstreamsPerQuery = 400;
constexpr int kPlanRounds = 2'000;
constexpr int kRemovalRounds = 100;
constexpr std::uint32_t kSeed = 1;

std::string DomainName(std::size_t domain) {
  return fmt::format("domain-{}", domain % kDomains);
}

std::string InstanceText() {
  std::string text;
  for (std::size_t i = 0; i < kInstances; ++i) {
    text += fmt::format(
        "[instance i-{}]\nfailure_domain = {}\npeers = 10.{}.{}.1:7000\n", i,
        DomainName(i), i / 250, i % 250);
  }
  return text;
}

std::string MapText(std::size_t collection) {
  const std::size_t shards = kUpstreams / kReplicas / kCollections;
  std::string text = fmt::format(
      "[collection]\nname = c-{}\nrevision = 1\nindex_version = 1\n"
      "shards_per_block = {}\n",
      collection, kShardsPerBlock);
  std::string shard_text;
  for (std::size_t s = 0; s < shards; ++s) {
    std::string names;
    for (std::size_t r = 0; r < kReplicas; ++r) {
      const std::string name = fmt::format("u-{}-{}-{}", collection, s, r);
      // Shards of one block have their replicas in the same domains
      text += fmt::format(
          "[upstream {}]\naddress = 10.0.0.1:9000\nfailure_domain = {}\n"
          "slots = 6\nconnections = 110\n",
          name, DomainName(collection + s / kShardsPerBlock + r));
      names += name + " ";
    }
    shard_text += fmt::format(
        "[shard s-{}]\nbegin = {}\nend = {}\nreplicas = {}\n", s,
        s * kKeySpaceEnd / shards, (s + 1) * kKeySpaceEnd / shards, names);
  }
  return text + shard_text;
}

std::string ContractText(std::size_t customer) {
  return fmt::format(
      "[contract]\ncustomer = customer-{}\nversion = 1\n[limits]\n"
      "deadline_ms = 340\nrate_per_second = 1000\nconcurrency = 100\n"
      "[kind look]\ncollection = c-{}\nidempotent = yes\n",
      customer, customer % kCollections);
}

double HeapMb() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd) / (1 << 20);
}

double MillisecondsSince(TimePoint start) {
  return std::chrono::duration<double, std::milli>(SteadyClock().Now() - start)
      .count();
}

void PrintRow(const std::string& name, double value, const std::string& unit) {
  fmt::print("| {} | {:.3f} | {} |\n", name, value, unit);
}

void Offer(ConfigStore& store, const std::string& name, std::string text) {
  std::vector<IniProblem> problems;
  store.Merge(PublishedValue{name, 1, std::move(text)}, problems);
  if (!problems.empty()) {
    fmt::print(stderr, "{}", JoinProblems(problems));
  }
}

// Calls `visit` for each domain and each block that has upstreams in it, with
// their number.
template <typename Visit>
void ForEachOwnedBlock(const FleetView& view, Visit visit) {
  for (const auto& [name, map] : view.State().m_collections) {
    for (const FailureDomain& domain : map->Domains()) {
      std::vector<std::uint32_t> upstreams(map->BlockCount());
      for (std::size_t s = 0; s < map->Shards().size(); ++s) {
        for (const std::uint32_t replica : map->Shards()[s].m_replicas) {
          upstreams[map->BlockOfShard(s)] +=
              map->Upstreams()[replica].m_domain == domain ? 1 : 0;
        }
      }
      for (std::size_t block = 0; block < upstreams.size(); ++block) {
        if (upstreams[block] > 0) {
          visit(name, domain, block, upstreams[block]);
        }
      }
    }
  }
}

// Returns the number of upstreams whose owner differs between two views.
std::size_t CountReassignedUpstreams(const FleetView& before,
                                     const FleetView& after) {
  std::size_t reassigned = 0;
  ForEachOwnedBlock(before, [&](const CollectionName& name,
                                const FailureDomain& domain, std::size_t block,
                                std::uint32_t upstreams) {
    const Instance* old_owner = before.Owners().OwnerOf(name, block, domain);
    const Instance* new_owner = after.Owners().OwnerOf(name, block, domain);
    reassigned += old_owner->m_id != new_owner->m_id ? upstreams : 0;
  });
  return reassigned;
}

void MeasureBalance(const FleetView& view) {
  std::map<InstanceId, std::size_t> loads;
  ForEachOwnedBlock(
      view, [&](const CollectionName& name, const FailureDomain& domain,
                std::size_t block, std::uint32_t upstreams) {
        loads[view.Owners().OwnerOf(name, block, domain)->m_id] += upstreams;
      });
  std::size_t greatest = 0;
  for (const auto& [instance, load] : loads) {
    greatest = std::max(greatest, load);
  }
  PrintRow("upstreams of the most loaded owner", static_cast<double>(greatest),
           "upstreams");
  PrintRow("owners with upstreams", static_cast<double>(loads.size()),
           "instances");
}

// Removes one random instance at a time and counts the reassigned upstreams.
void MeasureReassignment(const FleetView& view) {
  std::mt19937_64 random(kSeed);
  std::size_t sum = 0;
  std::size_t greatest = 0;
  for (int round = 0; round < kRemovalRounds; ++round) {
    FleetState fewer = view.State();
    fewer.m_instances.erase(fewer.m_instances.begin() +
                            static_cast<std::ptrdiff_t>(random() % kInstances));
    const std::size_t reassigned =
        CountReassignedUpstreams(view, FleetView(std::move(fewer), view));
    sum += reassigned;
    greatest = std::max(greatest, reassigned);
  }
  const double fair_share = static_cast<double>(kUpstreams) / kInstances;
  PrintRow("upstreams reassigned by the loss of an instance, mean",
           static_cast<double>(sum) / kRemovalRounds / fair_share,
           "x fair share");
  PrintRow("upstreams reassigned by the loss of an instance, maximum",
           static_cast<double>(greatest) / fair_share, "x fair share");
}

void MeasurePlan(const FleetView& view) {
  std::mt19937_64 random(kSeed);
  const CollectionMap& map = *view.State().m_collections.begin()->second;
  const std::uint64_t width =
      kKeySpaceEnd / map.Shards().size() * kUpstreamsPerQuery;
  std::size_t sub_queries = 0;
  const TimePoint start = SteadyClock().Now();
  for (int round = 0; round < kPlanRounds; ++round) {
    const std::uint64_t begin = random() % (kKeySpaceEnd - width);
    const QueryPlan plan =
        PlanQuery(view, map, {KeyRange{begin, begin + width}},
                  FailureDomain(DomainName(round)), TriedDomains());
    sub_queries += plan.m_sub_queries.size();
  }
  PrintRow("plan a query of 400 upstreams",
           MillisecondsSince(start) * 1000 / kPlanRounds, "us");
  PrintRow("sub-queries of such a query",
           static_cast<double>(sub_queries) / kPlanRounds, "owners");
}

void RunBenchmarks() {
  fmt::print("| measurement | value | unit |\n|---|---|---|\n");
  ConfigStore store;
  const double heap_before = HeapMb();

  // Parse all instances, maps and contracts
  TimePoint start = SteadyClock().Now();
  Offer(store, "instances", InstanceText());
  PrintRow("parse 3,800 instances", MillisecondsSince(start), "ms");
  start = SteadyClock().Now();
  for (std::size_t c = 0; c < kCollections; ++c) {
    Offer(store, fmt::format("map/c-{}", c), MapText(c));
  }
  PrintRow("parse 50 maps of 1,300 upstreams", MillisecondsSince(start), "ms");
  start = SteadyClock().Now();
  for (std::size_t c = 0; c < kContracts; ++c) {
    Offer(store, fmt::format("contracts/customer-{}", c), ContractText(c));
  }
  PrintRow("parse 20,000 contracts", MillisecondsSince(start), "ms");

  // Build the fleet view that requests use
  start = SteadyClock().Now();
  auto view = std::make_shared<const FleetView>(store.State());
  PrintRow("build a view with all owners", MillisecondsSince(start), "ms");
  PrintRow("heap used by the tables", HeapMb() - heap_before, "MB");

  // Change one map, one contract and one instance
  start = SteadyClock().Now();
  Offer(store, "map/c-0", MapText(0) + " ");
  PrintRow("parse one changed map", MillisecondsSince(start), "ms");
  start = SteadyClock().Now();
  Offer(store, "contracts/customer-0", ContractText(0) + "\n");
  PrintRow("parse one changed contract", MillisecondsSince(start), "ms");
  const FleetView changed(store.State(), *view);
  start = SteadyClock().Now();
  const FleetView rebuilt(store.State(), changed);
  PrintRow("build a view after a changed contract", MillisecondsSince(start),
           "ms");
  FleetState fewer = store.State();
  fewer.m_instances.erase(fewer.m_instances.begin());
  start = SteadyClock().Now();
  const FleetView smaller(std::move(fewer), *view);
  PrintRow("build a view after an instance is lost", MillisecondsSince(start),
           "ms");
  MeasureBalance(*view);
  MeasureReassignment(*view);
  MeasurePlan(*view);
}

}  // namespace
}  // namespace jackdawrack

int main() {
  jackdawrack::RunBenchmarks();
  return 0;
}

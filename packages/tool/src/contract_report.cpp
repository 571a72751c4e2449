#include "tool/contract_report.h"

#include <fmt/format.h>

#include <algorithm>

#include "net/json.h"
#include "tool/text_table.h"

namespace jackdawrack {

bool ContractReport::Add(const std::string& body) {
  const auto object = ParseJsonObject(body);
  if (!object) {
    return false;
  }
  const InstanceId instance(JsonText(*object, "instance"));
  const boost::json::value* contracts = object->if_contains("contracts");
  if (instance.IsEmpty() || contracts == nullptr || !contracts->is_array()) {
    return false;
  }
  m_instances.push_back(instance);
  for (const boost::json::value& item : contracts->as_array()) {
    if (!item.is_object()) {
      return false;
    }
    const boost::json::object& contract = item.as_object();
    m_customers[Customer(JsonText(contract, "customer"))][instance] =
        ContractInForce{JsonNumber(contract, "version"),
                        JsonText(contract, "text_hash")};
  }
  return true;
}

std::string ContractReport::ToText() const {
  TextTable table({"customer", "instance", "version", "text", "agreed"});
  for (const auto& [customer, contracts] : m_customers) {
    const std::string agreed = Agrees(contracts) ? "yes" : "NO";
    for (const InstanceId& instance : m_instances) {
      const auto found = contracts.find(instance);
      if (found == contracts.end()) {
        table.AddRow({customer.Text(), instance.Text(), "none", "-", agreed});
      } else {
        table.AddRow({customer.Text(), instance.Text(),
                      fmt::format("{}", found->second.m_version),
                      found->second.m_text_hash, agreed});
      }
    }
  }
  return table.ToText();
}

std::vector<Customer> ContractReport::Disagreements() const {
  std::vector<Customer> customers;
  for (const auto& [customer, contracts] : m_customers) {
    if (!Agrees(contracts)) {
      customers.push_back(customer);
    }
  }
  return customers;
}

bool ContractReport::Agrees(const ByInstance& contracts) const {
  return std::all_of(m_instances.begin(), m_instances.end(),
                     [&](const InstanceId& instance) {
                       const auto found = contracts.find(instance);
                       return found != contracts.end() &&
                              found->second == contracts.begin()->second;
                     });
}

}  // namespace jackdawrack

#include <LibAdmin/ConfigurationReport.h>

namespace radishcross::admin {

namespace json = boost::json;

json::object configurationReport(const log::Fold &fold,
                                 const log::Configuration &configuration) {
  json::array versions;
  for (const auto &it : configuration.Versions)
    versions.push_back(json::object{{"version", it.Number}, {"offset", it.At}});
  json::array attachments;
  for (const auto &[name, it] : fold.attachments())
    if (it.Configuration == configuration.Name)
      attachments.push_back(json::object{{"name", it.Name},
                                         {"version", it.Version},
                                         {"selector", it.NodeSelector.text()},
                                         {"offset", it.At}});
  uint64_t newest =
      configuration.Versions.empty() ? 0 : configuration.Versions.back().Number;
  return {
      {"configuration", configuration.Name},
      {"team", configuration.Team},
      {"newest", newest},
      {"changed_at", configuration.ChangedAt},
      {"versions", std::move(versions)},
      {"attachments", std::move(attachments)},
  };
}

json::array configurationReports(const log::Fold &fold) {
  json::array out;
  for (const auto &[name, it] : fold.configurations())
    out.push_back(configurationReport(fold, it));
  return out;
}

} // namespace radishcross::admin

#include <LibAdmin/ConfigurationReport.h>

namespace radishcross::admin {

namespace json = boost::json;

json::object configurationReport(const log::Fold &fold,
                                 const log::Configuration &about) {
  json::array versions;
  for (const auto &it : about.Versions)
    versions.push_back(json::object{{"version", it.Number}, {"offset", it.At}});
  json::array attachments;
  for (const auto &[name, it] : fold.attachments())
    if (it.Configuration == about.Name)
      attachments.push_back(json::object{{"name", it.Name},
                                         {"version", it.Version},
                                         {"selector", it.NodeSelector.text()},
                                         {"offset", it.At}});
  uint64_t newest = about.Versions.empty() ? 0 : about.Versions.back().Number;
  return {
      {"configuration", about.Name},
      {"team", about.Team},
      {"newest", newest},
      {"changed_at", about.ChangedAt},
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

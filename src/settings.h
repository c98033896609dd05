// The settings files of the processes: JSON, checked in full before anything starts. docs/settings
// in docs/operations.md explains each key for operators.
#ifndef ENDIVECLEAT_SETTINGS_H_
#define ENDIVECLEAT_SETTINGS_H_

#include <optional>
#include <string>
#include <vector>

#include "units.h"

namespace endivecleat {

/// Where an instance stands.
struct Place {
  RegionId region;
  DataCentreId data_centre;

  auto operator<=>(const Place&) const = default;
};

/// A control instance as the settings of every process list it.
struct ControlPeer {
  InstanceId instance;
  Place place;
  Address peers;
  Address operators;
};

struct LogSettings {
  std::string level = "info";     // debug, info, warning or error
  std::string target = "stderr";  // "stderr" or the path of a file
};

/// What both kinds of processes share.
struct CommonSettings {
  InstanceId instance;
  Place place;
  std::vector<ControlPeer> control;  // every control instance of the deployment
  std::string mesh_token;            // shared by the processes of the system
  LogSettings log;
  std::string trace_file;  // empty: no traces are written
  Duration drain_timeout = std::chrono::seconds(30);
};

struct ControlSettings {
  CommonSettings common;
  std::string data_folder;
  Address operators;
  Address peers;
  std::string operator_token;
  Duration heartbeat = std::chrono::milliseconds(500);
  Duration election_timeout = std::chrono::seconds(2);  // the least; the longest is twice as much
};

struct DaemonSettings {
  CommonSettings common;
  Address callers;
  Address peers;
  Address local;
  std::string announce_token;
  std::vector<Address> neighbours;  // asked when no control instance answers
};

/// Both throw UserError: kSettingsUnreadable when a file cannot be read, kSettingsInvalid with
/// every problem and its JSON path otherwise. Paths in the file are relative to the file's folder.
ControlSettings LoadControlSettings(const std::string& path);
DaemonSettings LoadDaemonSettings(const std::string& path);

/// The same from text, for tests; folder is what relative paths start from.
ControlSettings ParseControlSettings(const std::string& text, const std::string& folder);
DaemonSettings ParseDaemonSettings(const std::string& text, const std::string& folder);

/// Reads a token from a file: one line of at least 16 characters. Throws UserError.
std::string ReadTokenFile(const std::string& path);

}  // namespace endivecleat

#endif  // ENDIVECLEAT_SETTINGS_H_

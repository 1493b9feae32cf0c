#include "plugins/engineload/LongDemand.h"

#include <algorithm>
#include <cmath>

namespace banyanpick {

void LongDemand::note(double ReadMs, Time Now) {
  constexpr double MsPerSecond = 1e3;
  const double Seconds = std::min(ReadMs, this->MostMs) / MsPerSecond;
  this->Own = {this->own(Now) + Seconds / inSeconds(this->Memory), Now};
}

void LongDemand::takePeer(const HostId &Peer, double Engines, Time Now) {
  this->Peers[Peer] = {Engines, Now};
}

double LongDemand::own(Time Now) const { return this->decayed(this->Own, Now); }

double LongDemand::total(Time Now) const {
  double Sum = this->own(Now);
  for (const auto &[Peer, Of] : this->Peers)
    Sum += this->decayed(Of, Now);
  return Sum;
}

double LongDemand::decayed(const Average &Of, Time Now) const {
  if (Of.Engines == 0)
    return 0;
  return Of.Engines *
         std::exp(-inSeconds(Now - Of.At) / inSeconds(this->Memory));
}

} // namespace banyanpick

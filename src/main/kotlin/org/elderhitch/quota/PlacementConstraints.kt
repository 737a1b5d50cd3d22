package org.elderhitch.quota

import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.settings.Zone

/**
 * The machines on which the tasks of a job may run.
 *
 * @property types the allowed machine types; null if all are allowed
 * @property zone the only allowed zone; null if all are allowed
 */
public data class PlacementConstraints(val types: Set<MachineType>?, val zone: Zone?, val spotAllowed: Boolean) {
    public companion object {
        public fun of(spec: JobSpec): PlacementConstraints = PlacementConstraints(
            spec.types,
            spec.zone,
            spec.spotAllowed,
        )
    }
}

package org.elderhitch.quota

import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.settings.Zone

/**
 * Where the tasks of a job may run.
 *
 * @property types the machine types that are allowed; null: all
 * @property zone the only zone that is allowed; null: all
 * @property spot whether spot machines are allowed
 */
public data class PlacementConstraints(val types: Set<MachineType>?, val zone: Zone?, val spot: Boolean) {
    public companion object {
        public fun of(spec: JobSpec): PlacementConstraints = PlacementConstraints(
            spec.types,
            spec.zone,
            spec.spotAllowed,
        )
    }
}

package org.elderhitch.jobs

/** Amounts of resources, such as the request of a task or the total or free capacity of a machine. */
public data class Resources(val cpus: Double, val gpus: Double, val memoryGb: Double) {
    public operator fun plus(other: Resources): Resources =
        Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    public operator fun minus(other: Resources): Resources =
        Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    public operator fun times(count: Int): Resources = Resources(cpus * count, gpus * count, memoryGb * count)

    /** These amounts with negative ones replaced by zero. */
    public fun coerceAtLeastZero(): Resources = Resources(maxOf(cpus, 0.0), maxOf(gpus, 0.0), maxOf(memoryGb, 0.0))

    /** A scalar for comparing the load of machines of different types. */
    public val weight: Double get() = gpus + cpus

    /** Whether no amount exceeds the one in [capacity]. */
    public fun fitsIn(capacity: Resources): Boolean =
        cpus <= capacity.cpus + SLACK && gpus <= capacity.gpus + SLACK && memoryGb <= capacity.memoryGb + SLACK

    public companion object {
        /** Tolerance for rounding errors in sums of decimal amounts, which must not prevent a task from fitting. */
        private const val SLACK = 1e-6
        public val NONE: Resources = Resources(0.0, 0.0, 0.0)
    }
}

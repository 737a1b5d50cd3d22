package org.elderhitch.jobs

/** Amounts of resources: what one task requests, or what a machine has or has free. */
public data class Resources(val cpus: Double, val gpus: Double, val memoryGb: Double) {
    public operator fun plus(other: Resources): Resources =
        Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    public operator fun minus(other: Resources): Resources =
        Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    public operator fun times(count: Int): Resources = Resources(cpus * count, gpus * count, memoryGb * count)

    /** The same with negative amounts raised to zero. */
    public fun coerceAtLeastZero(): Resources = Resources(maxOf(cpus, 0.0), maxOf(gpus, 0.0), maxOf(memoryGb, 0.0))

    /** One number by which loads of machines of any type are compared. */
    public val weight: Double get() = gpus + cpus

    /** Whether each amount is at most the one of [capacity]. */
    public fun fitsIn(capacity: Resources): Boolean =
        cpus <= capacity.cpus + SLACK && gpus <= capacity.gpus + SLACK && memoryGb <= capacity.memoryGb + SLACK

    public companion object {
        /** Sums of decimal amounts differ in the last bits, which must not keep a task from fitting. */
        private const val SLACK = 1e-6
        public val NONE: Resources = Resources(0.0, 0.0, 0.0)
    }
}

-- For a first sweep on loopback (docs/operations/sweeps.md).
return { sweeps = {} }

-- For a first try on loopback: make the key first, with `java -jar target/elderhitch.jar drmaa key --name k1 > example/drmaa.keys`.
return {
  drmaa = {
    keys = "drmaa.keys",
    categories = {
      ["photo-sort"] = { lotClass = "photo-sort", catchImage = "img-1", cores = 4, accelerators = 1, memGb = 8, pullGb = 1, haulS = 2, borrowedRigs = true },
    },
  },
}
